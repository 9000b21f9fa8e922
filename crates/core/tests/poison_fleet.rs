//! A request that crashes every target that runs it.

mod requests_fixture;

use {
    requests_fixture::{Bench, ENGINES, bench, dispatches, finished, report, run_of, sent_news},
    std::collections::BTreeMap,
    whinlatch_core::{Action, AttemptEvent, Dispatch, Submission},
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind, Reason},
        ids::{Incarnation, RequestId},
        peer::{News, PoisonNews},
        target::{LoadReport, RefusalReason},
    },
};

const PEER: Incarnation = Incarnation(0xB);
const POISON: u64 = 13;

/// Fake engines that crash on the poison request and complete all others after a while.
struct Engines {
    bench: Bench,
    poison: Vec<RequestId>,
    in_flight: Vec<Dispatch>,
    runs: BTreeMap<&'static str, u128>,
    crashes: usize,
    sent_news: Vec<News>,
    ended: BTreeMap<RequestId, Outcome>,
}

impl Engines {
    fn new() -> Self {
        let mut bench = bench();
        bench.link(PEER);
        Self {
            bench,
            poison: Vec::new(),
            in_flight: Vec::new(),
            runs: BTreeMap::new(),
            crashes: 0,
            sent_news: Vec::new(),
            ended: BTreeMap::new(),
        }
    }

    fn apply(&mut self, actions: &[Action]) {
        self.sent_news.extend(sent_news(actions));
        self.in_flight.extend(dispatches(actions));
        let ended = finished(actions).into_iter();
        self.ended
            .extend(ended.map(|outcome| (outcome.request, outcome)));
    }

    fn submit(&mut self, submission: Submission) {
        if submission.fingerprint == POISON {
            self.poison.push(submission.request);
        }
        let actions = self.bench.submit(submission);
        self.apply(&actions);
    }

    fn run_of(&self, target: &str) -> Incarnation {
        let restarts = self.runs.get(target).copied().unwrap_or(0);
        Incarnation(run_of(target).0 + (restarts << 64))
    }

    /// Steps until nothing is in flight: engines that run the poison crash, and others complete requests.
    fn run_until_idle(&mut self) {
        for _ in 0..400 {
            self.step();
            self.complete_one();
        }
    }

    fn step(&mut self) {
        self.refuse_stale();
        self.crash_one();
        self.advance(50);
    }

    /// Refuses the attempts that were sent to a former run of a restarted engine.
    fn refuse_stale(&mut self) {
        let stale = |engines: &Self| {
            let mut in_flight = engines.in_flight.iter();
            in_flight.position(|f| f.expect_incarnation != engines.run_of(f.target.as_str()))
        };
        while let Some(index) = stale(self) {
            let dispatch = self.in_flight.remove(index);
            let reason = RefusalReason::OtherIncarnation;
            let actions = self.bench.refuse(dispatch.attempt, reason);
            self.apply(&actions);
        }
    }

    /// Crashes an engine that runs the poison: all attempts in flight there break.
    fn crash_one(&mut self) {
        let poison = self
            .in_flight
            .iter()
            .find(|f| self.poison.contains(&f.request));
        let Some(target) = poison.map(|dispatch| dispatch.target.clone()) else {
            return;
        };
        let name = ENGINES
            .iter()
            .find(|name| **name == target.as_str())
            .expect("an engine");
        *self.runs.entry(*name).or_default() += 1;
        self.crashes += 1;
        let (lost, left) = self.in_flight.drain(..).partition(|f| f.target == target);
        self.in_flight = left;
        for dispatch in lost {
            let broken = AttemptEvent::Broken { chunks: 0 };
            let actions = self.bench.attempt(dispatch.attempt, broken);
            self.apply(&actions);
        }
    }

    fn advance(&mut self, ms: u64) {
        let runs: Vec<_> = ENGINES
            .iter()
            .map(|name| (*name, self.run_of(name)))
            .collect();
        let actions = self.bench.advance_with(ms, |bench| {
            let reports = runs.iter().map(|(name, run)| bench.report(name, *run));
            reports.flatten().collect()
        });
        self.apply(&actions);
    }

    fn complete_one(&mut self) {
        let healthy = self
            .in_flight
            .iter()
            .position(|f| !self.poison.contains(&f.request));
        if let Some(index) = healthy {
            let dispatch = self.in_flight.remove(index);
            let actions = self
                .bench
                .attempt(dispatch.attempt, AttemptEvent::Completed);
            self.apply(&actions);
        }
    }
}

/// Guards against one request taking the fleet down: its caller resends it after each failure, and each
/// time up to three more engines crash with all requests that they were running.
#[test]
fn a_request_that_crashes_engines_is_stopped_within_three_targets() {
    let mut engines = Engines::new();
    for _ in 0..6 {
        let prompt = engines.bench.prompt(POISON);
        engines.submit(prompt);
        engines.run_until_idle();
    }

    assert!(engines.crashes <= 3, "{} engines crashed", engines.crashes);
    let last = &engines.ended[engines.poison.last().expect("submitted")];
    assert_eq!(
        (last.outcome, last.reason),
        (OutcomeKind::NotRun, Reason::Poison)
    );
    assert!(last.retry_after_ms.is_some());
}

/// Guards against harmless prompts failing with the one that crashes engines: all requests in flight at
/// the engine are lost with it, and would be sent together to the next engine, which crashes too.
#[test]
fn harmless_requests_in_flight_at_a_crashed_engine_complete() {
    let mut engines = Engines::new();
    for fingerprint in 100..124 {
        let prompt = engines.bench.prompt(fingerprint);
        engines.submit(prompt);
    }
    for _ in 0..4 {
        let prompt = engines.bench.prompt(POISON);
        engines.submit(prompt);
        (0..40).for_each(|_| engines.step());
    }

    engines.run_until_idle();

    let harmless = engines
        .ended
        .values()
        .filter(|o| !engines.poison.contains(&o.request));
    let outcomes: Vec<OutcomeKind> = harmless.map(|o| o.outcome).collect();
    assert_eq!(outcomes, vec![OutcomeKind::Completed; 24]);
    assert!(engines.crashes <= 3, "{} engines crashed", engines.crashes);
}

/// Delivers reports of all engines except `idle` that show work of other daemons.
fn report_all_busy_except(bench: &mut Bench, idle: &str) {
    for name in ENGINES.iter().filter(|name| **name != idle) {
        let load = LoadReport {
            running: 5,
            ..report(run_of(name))
        };
        bench.report_with(name, load);
    }
}

/// Guards against a later prompt being lost with the one that crashes engines, because the engine that
/// runs the suspect looks least busy.
#[test]
fn new_requests_avoid_the_engine_that_runs_a_suspect() {
    let mut bench = bench();
    let poison = vec![PoisonNews {
        fingerprint: POISON,
        deaths: vec![Incarnation(1)],
        keep_ms: 60_000,
        alone: Vec::new(),
    }];
    let news = News {
        poison,
        ..News::default()
    };
    bench.news(PEER, news);
    let suspect = bench.prompt(POISON);
    let there = dispatches(&bench.submit(suspect))[0].target.clone();
    report_all_busy_except(&mut bench, there.as_str());

    let prompt = bench.prompt(100);
    let sent = dispatches(&bench.submit(prompt))[0].target.clone();

    assert_ne!(sent, there);
}

/// Guards against a suspect being sent back to the engine where its attempt broke, because all other
/// engines are busy and it wouldn't run alone there.
#[test]
fn a_suspect_is_not_sent_back_to_an_engine_that_was_tried() {
    let mut bench = bench();
    let prompt = bench.prompt(POISON);
    let first = dispatches(&bench.submit(prompt))[0].clone();
    for fingerprint in 100..103 {
        let other = bench.prompt(fingerprint);
        bench.submit(other);
    }
    report_all_busy_except(&mut bench, first.target.as_str());

    let actions = bench.attempt(first.attempt, AttemptEvent::Broken { chunks: 0 });

    assert_ne!(dispatches(&actions)[0].target, first.target);
}

/// Guards against a caller that resends the poison to another daemon, where three more engines crash.
#[test]
fn other_daemons_refuse_a_poison_request_because_of_news() {
    let mut engines = Engines::new();
    let prompt = engines.bench.prompt(POISON);
    engines.submit(prompt);
    engines.run_until_idle();
    let news: Vec<News> = engines
        .sent_news
        .into_iter()
        .filter(|n| !n.poison.is_empty())
        .collect();
    let mut other_daemon = bench();
    for item in news {
        other_daemon.news(PEER, item);
    }

    let prompt = other_daemon.prompt(POISON);
    let actions = other_daemon.submit(prompt);

    assert_eq!(finished(&actions)[0].reason, Reason::Poison);
}

#[test]
fn crashes_in_repeated_news_count_once_and_expire() {
    let mut bench = bench();
    let crash_news = |deaths: &[u128], keep_ms| News {
        poison: vec![PoisonNews {
            fingerprint: POISON,
            deaths: deaths.iter().map(|run| Incarnation(*run)).collect(),
            keep_ms,
            alone: Vec::new(),
        }],
        ..News::default()
    };
    bench.news(PEER, crash_news(&[1, 2], 5_000));
    bench.news(PEER, crash_news(&[2, 1], 5_000));
    let prompt = bench.prompt(POISON);
    let twice = bench.submit(prompt);
    bench.news(PEER, crash_news(&[3], 5_000));
    let prompt = bench.prompt(POISON);
    let thrice = bench.submit(prompt);
    bench.advance(5_100);
    let prompt = bench.prompt(POISON);
    let later = bench.submit(prompt);

    assert_eq!(dispatches(&twice).len(), 1);
    assert_eq!(finished(&thrice)[0].reason, Reason::Poison);
    assert_eq!(dispatches(&later).len(), 1);
}

#[test]
fn a_broken_connection_to_a_live_engine_is_no_crash() {
    let mut bench = bench();
    for _ in 0..4 {
        let prompt = bench.prompt(POISON);
        let attempt = dispatches(&bench.submit(prompt))[0].attempt;
        let actions = bench.attempt(attempt, AttemptEvent::Broken { chunks: 0 });
        let mut again = dispatches(&actions);
        again.extend(dispatches(&bench.advance(2_000)));
        bench.attempt(again[0].attempt, AttemptEvent::Completed);
    }

    let prompt = bench.prompt(POISON);
    assert_eq!(dispatches(&bench.submit(prompt)).len(), 1);
}
