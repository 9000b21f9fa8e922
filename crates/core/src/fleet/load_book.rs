use {
    super::ReadSample,
    crate::{routing::Weight, time::MonoMs},
    whinlatch_wire::{
        ids::{AttemptId, Incarnation},
        peer::TargetLoad,
        target::LoadReport,
    },
};

/// How old a load report may be without saying so, in ms. Work sent since then is added to it.
const REPORT_AGE_MS: u64 = 500;
/// Part of a prompt's time that is taken to be left when its first token is overdue.
const OVERDUE_PART: f64 = 0.1;
/// A prompt teaches the target's rate only if no more than this part of its time was waiting.
const CLEAN_PART: f64 = 0.1;

/// A prompt sent to a target, whose first token isn't there yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// When it was sent.
    pub sent: MonoMs,
    /// Predicted time until its turn comes, in ms from then.
    pub wait_ms: f64,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Engines that read it.
    pub engines: usize,
    /// Predicted time to read it, in ms.
    pub read_ms: f64,
    /// Memory that it takes here, in tokens.
    pub memory_tokens: u64,
    /// How long it holds up others.
    pub weight: Weight,
    /// Whether its time shows how fast the target reads: nothing before it, no cached prefix.
    pub clean: bool,
}

/// How long a peer's last word is remembered, in ms: longer than any copy of it is passed on, so that
/// an old one that comes round again isn't taken for news.
const PEER_MS: u64 = 120_000;

/// How long a peer's claim is believed unless it is stated again, in ms.
const CLAIM_MS: u64 = 5_000;

/// A long prompt that waits for its turn at the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Names the claim.
    pub claim: AttemptId,
    /// When the request was taken in; who waits longer goes first.
    pub since: MonoMs,
    /// Predicted time to read it, in ms.
    pub read_ms: f64,
}

/// Work that is left at a target, by weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeftWork {
    /// Of light prompts, in ms.
    pub light_ms: f64,
    /// Of medium prompts, in ms.
    pub medium_ms: f64,
    /// Of long prompts, in ms.
    pub long_ms: f64,
}

/// Heavy work that another daemon has at the target.
#[derive(Debug, Clone, Copy)]
struct PeerWork {
    origin: Incarnation,
    number: u64,
    heard: MonoMs,
    medium_until: MonoMs,
    long_until: MonoMs,
    claimed_ms: u64,
    claimed_since: MonoMs,
}

/// What waits at a target, as seen from here: its lagging reports, corrected by what this daemon
/// sent since, and the heavy work that peers tell of at once.
#[derive(Debug, Clone, Default)]
pub struct LoadBook {
    jobs: Vec<Job>,
    claims: Vec<Claim>,
    peers: Vec<PeerWork>,
    reported: MonoMs,
    reported_ms: f64,
    since_ms: f64,
    since_tokens: u64,
    free_tokens: u64,
    running: u32,
}

impl LoadBook {
    /// Notes a prompt that is sent.
    pub fn sent(&mut self, job: Job) {
        for other in &mut self.jobs {
            other.clean &= job.read_ms <= other.read_ms * CLEAN_PART;
        }
        if job.weight == Weight::Light {
            self.since_ms += job.read_ms;
        }
        self.since_tokens += job.memory_tokens;
        self.jobs.push(job);
    }

    /// What a prompt teaches whose first token came.
    pub fn sample(&self, now: MonoMs, attempt: AttemptId) -> Option<ReadSample> {
        let job = self.jobs.iter().find(|job| job.attempt == attempt)?;
        job.clean.then_some(ReadSample {
            tokens: job.tokens,
            engines: job.engines,
            took_ms: now.since(job.sent) as f64,
        })
    }

    /// Forgets a prompt, whatever became of it.
    pub fn ended(&mut self, attempt: AttemptId) -> Option<Job> {
        let place = self.jobs.iter().position(|job| job.attempt == attempt)?;
        Some(self.jobs.swap_remove(place))
    }

    /// Takes in a report, given the time that the target takes for a token.
    pub fn reported(&mut self, now: MonoMs, report: &LoadReport, token_ms: f64) {
        self.reported = now;
        self.reported_ms = report.prefill_tokens_left as f64 * token_ms;
        self.running = report.running;
        self.free_tokens = report
            .memory_total_tokens
            .saturating_sub(report.memory_used_tokens);
        let since = |job: &&Job| now.since(job.sent) <= REPORT_AGE_MS;
        let jobs = self.jobs.iter().filter(since);
        self.since_tokens = jobs.clone().map(|job| job.memory_tokens).sum();
        let light = jobs.filter(|job| job.weight == Weight::Light);
        self.since_ms = light.map(|job| job.read_ms).sum();
    }

    /// Takes in a peer's word. Returns whether it was news.
    pub fn peer_says(&mut self, now: MonoMs, load: &TargetLoad) -> bool {
        let word = PeerWork {
            origin: load.origin,
            number: load.number,
            heard: now,
            medium_until: now + load.prefill_left_ms.saturating_sub(load.long_left_ms),
            long_until: now + load.long_left_ms,
            claimed_ms: load.claimed_ms,
            claimed_since: MonoMs(now.0.saturating_sub(load.claim_age_ms)),
        };
        self.peers
            .retain(|work| now.since(work.heard) <= PEER_MS || work.long_until > now);
        let known = self.peers.iter_mut().find(|w| w.origin == load.origin);
        match known {
            Some(known) if known.number >= word.number => return false,
            Some(known) => *known = word,
            None => self.peers.push(word),
        }
        true
    }

    /// Requests that the last report said were at work.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Notes that a long prompt waits for its turn here.
    pub fn claim(&mut self, claim: Claim) {
        self.unclaim(claim.claim);
        self.claims.push(claim);
    }

    /// Forgets a claim. Returns whether there was one.
    pub fn unclaim(&mut self, claim: AttemptId) -> bool {
        let before = self.claims.len();
        self.claims.retain(|held| held.claim != claim);
        self.claims.len() < before
    }

    /// This daemon's claims: their time in ms, and since when the first waits.
    pub fn own_claims(&self) -> (f64, Option<MonoMs>) {
        let total_ms = self.claims.iter().map(|claim| claim.read_ms).sum();
        (total_ms, self.claims.iter().map(|claim| claim.since).min())
    }

    /// Whether this daemon has a long prompt here, sent or waiting.
    pub fn has_long(&self) -> bool {
        !self.claims.is_empty() || self.jobs.iter().any(|job| job.weight == Weight::Long)
    }

    /// Long work that goes before a request that waits since `since`, in ms: what is sent, and the
    /// claims of those that wait longer. So a prompt that takes many engines is not passed by others
    /// that take few.
    pub fn ahead_ms(&self, now: MonoMs, since: MonoMs, claim: AttemptId) -> f64 {
        let own = self
            .claims
            .iter()
            .filter(|held| (held.since, held.claim) < (since, claim))
            .map(|held| held.read_ms);
        let peers = self
            .peers
            .iter()
            .filter(|work| work.claimed_since < since && now.since(work.heard) <= CLAIM_MS)
            .map(|work| work.claimed_ms as f64);
        self.left(now).long_ms + own.sum::<f64>() + peers.sum::<f64>()
    }

    /// Memory that is free, in tokens.
    pub fn free_tokens(&self) -> u64 {
        self.free_tokens.saturating_sub(self.since_tokens)
    }

    /// Work of this daemon of one weight that is left, in ms.
    pub fn own_ms(&self, now: MonoMs, weight: Weight) -> f64 {
        self.jobs
            .iter()
            .filter(|job| job.weight == weight)
            .map(|job| job.left_ms(now))
            .sum()
    }

    /// What is left of all daemons' work.
    pub fn left(&self, now: MonoMs) -> LeftWork {
        let peers = self.peers.iter();
        let (medium, long) = peers.fold((0, 0), |(medium, long), work| {
            let medium = medium + work.medium_until.since(now);
            (medium, long + work.long_until.since(now))
        });
        let medium_ms = self.own_ms(now, Weight::Medium) + medium as f64;
        let long_ms = self.own_ms(now, Weight::Long) + long as f64;
        let done_ms = now.since(self.reported) as f64;
        let reported_ms = (self.reported_ms - done_ms).max(0.0);
        // Beside others the report can't tell light work apart, so only what was sent from here
        // counts then.
        let alone = medium_ms + long_ms == 0.0;
        LeftWork {
            light_ms: self.since_ms + if alone { reported_ms } else { 0.0 },
            medium_ms,
            long_ms,
        }
    }
}

impl Job {
    fn left_ms(&self, now: MonoMs) -> f64 {
        let passed_ms = (now.since(self.sent) as f64 - self.wait_ms).max(0.0);
        (self.read_ms - passed_ms).max(self.read_ms * OVERDUE_PART)
    }
}
