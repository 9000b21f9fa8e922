//! A request that crashes each target that runs it.

mod requests_fixture;

use {
    requests_fixture::{Bench, ENGINES, bench, dispatches, finished, report, run_of, told},
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

/// Engines that die of one request and complete all others after a while.
struct Engines {
    bench: Bench,
    poison: Vec<RequestId>,
    flights: Vec<Dispatch>,
    runs: BTreeMap<&'static str, u128>,
    deaths: usize,
    told: Vec<News>,
    ended: BTreeMap<RequestId, Outcome>,
}

impl Engines {
    fn new() -> Self {
        let mut bench = bench();
        bench.link(PEER);
        Self {
            bench,
            poison: Vec::new(),
            flights: Vec::new(),
            runs: BTreeMap::new(),
            deaths: 0,
            told: Vec::new(),
            ended: BTreeMap::new(),
        }
    }

    fn take_in(&mut self, actions: &[Action]) {
        self.told.extend(told(actions));
        self.flights.extend(dispatches(actions));
        let ended = finished(actions).into_iter();
        self.ended
            .extend(ended.map(|outcome| (outcome.request, outcome)));
    }

    fn submit(&mut self, submission: Submission) {
        if submission.fingerprint == POISON {
            self.poison.push(submission.request);
        }
        let actions = self.bench.submit(submission);
        self.take_in(&actions);
    }

    fn run_of(&self, target: &str) -> Incarnation {
        let died = self.runs.get(target).copied().unwrap_or(0);
        Incarnation(run_of(target).0 + (died << 64))
    }

    /// Lets targets that got the poison die, then time pass, until nothing is in flight.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.turn();
            self.complete_one();
        }
    }

    fn turn(&mut self) {
        self.refuse_stale();
        self.die();
        self.now(50);
    }

    /// An engine that has restarted refuses what was meant for its former run.
    fn refuse_stale(&mut self) {
        let stale = |engines: &Self| {
            let mut flights = engines.flights.iter();
            flights.position(|f| f.expect_incarnation != engines.run_of(f.target.as_str()))
        };
        while let Some(index) = stale(self) {
            let flight = self.flights.remove(index);
            let reason = RefusalReason::OtherIncarnation;
            let actions = self.bench.refuse(flight.attempt, reason);
            self.take_in(&actions);
        }
    }

    fn die(&mut self) {
        let hit = self
            .flights
            .iter()
            .find(|f| self.poison.contains(&f.request));
        let Some(target) = hit.map(|flight| flight.target.clone()) else {
            return;
        };
        let name = ENGINES
            .iter()
            .find(|name| **name == target.as_str())
            .expect("an engine");
        *self.runs.entry(*name).or_default() += 1;
        self.deaths += 1;
        let (lost, left) = self.flights.drain(..).partition(|f| f.target == target);
        self.flights = left;
        for flight in lost {
            let broken = AttemptEvent::Broken { chunks: 0 };
            let actions = self.bench.attempt(flight.attempt, broken);
            self.take_in(&actions);
        }
    }

    fn now(&mut self, ms: u64) {
        let runs: Vec<_> = ENGINES
            .iter()
            .map(|name| (*name, self.run_of(name)))
            .collect();
        let actions = self.bench.pass_with(ms, |bench| {
            let reports = runs.iter().map(|(name, run)| bench.report(name, *run));
            reports.flatten().collect()
        });
        self.take_in(&actions);
    }

    fn complete_one(&mut self) {
        let healthy = self
            .flights
            .iter()
            .position(|f| !self.poison.contains(&f.request));
        if let Some(index) = healthy {
            let flight = self.flights.remove(index);
            let actions = self.bench.attempt(flight.attempt, AttemptEvent::Completed);
            self.take_in(&actions);
        }
    }
}

/// A manifest that crashes engines takes the fleet down: its caller sends it again each time it
/// fails, and each time up to three more engines die with all that they were working on.
#[test]
fn a_request_that_crashes_engines_is_stopped_within_three_targets() {
    let mut engines = Engines::new();
    for _ in 0..6 {
        let prompt = engines.bench.prompt(POISON);
        engines.submit(prompt);
        engines.settle();
    }

    assert!(engines.deaths <= 3, "{} engines died", engines.deaths);
    let last = &engines.ended[engines.poison.last().expect("submitted")];
    assert_eq!(
        (last.outcome, last.reason),
        (OutcomeKind::NotRun, Reason::Poison)
    );
    assert!(last.retry_after_ms.is_some());
}

/// Prompts that did nothing wrong fail with the one that crashes engines: all that was in flight
/// at the engine is lost with it, and sent together to the next one that dies.
#[test]
fn the_innocent_beside_it_complete() {
    let mut engines = Engines::new();
    for fingerprint in 100..124 {
        let prompt = engines.bench.prompt(fingerprint);
        engines.submit(prompt);
    }
    for _ in 0..4 {
        let prompt = engines.bench.prompt(POISON);
        engines.submit(prompt);
        (0..40).for_each(|_| engines.turn());
    }

    engines.settle();

    let innocent = engines
        .ended
        .values()
        .filter(|o| !engines.poison.contains(&o.request));
    let outcomes: Vec<OutcomeKind> = innocent.map(|o| o.outcome).collect();
    assert_eq!(outcomes, vec![OutcomeKind::Completed; 24]);
    assert!(engines.deaths <= 3, "{} engines died", engines.deaths);
}

/// Reports of all engines but `idle` that show work of other daemons.
fn all_busy_but(bench: &mut Bench, idle: &str) {
    for name in ENGINES.iter().filter(|name| **name != idle) {
        let load = LoadReport {
            running: 5,
            ..report(run_of(name))
        };
        bench.report_with(name, load);
    }
}

/// A prompt is lost with the one that crashes engines: it came later, and the engine where the
/// suspect runs looked the least busy.
#[test]
fn new_requests_keep_away_from_a_suspect() {
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
    all_busy_but(&mut bench, there.as_str());

    let prompt = bench.prompt(100);
    let sent = dispatches(&bench.submit(prompt))[0].target.clone();

    assert_ne!(sent, there);
}

/// A request goes back to the engine that broke off, since all others have work and count as
/// places where it would not be alone.
#[test]
fn a_suspect_is_not_sent_back_where_it_was_tried() {
    let mut bench = bench();
    let prompt = bench.prompt(POISON);
    let first = dispatches(&bench.submit(prompt))[0].clone();
    for fingerprint in 100..103 {
        let other = bench.prompt(fingerprint);
        bench.submit(other);
    }
    all_busy_but(&mut bench, first.target.as_str());

    let actions = bench.attempt(first.attempt, AttemptEvent::Broken { chunks: 0 });

    assert_ne!(dispatches(&actions)[0].target, first.target);
}

/// A caller sends the request that crashes engines to the next entry, and three more die.
#[test]
fn other_daemons_refuse_it_by_what_they_are_told() {
    let mut engines = Engines::new();
    let prompt = engines.bench.prompt(POISON);
    engines.submit(prompt);
    engines.settle();
    let news: Vec<News> = engines
        .told
        .into_iter()
        .filter(|n| !n.poison.is_empty())
        .collect();
    let mut elsewhere = bench();
    for told in news {
        elsewhere.news(PEER, told);
    }

    let prompt = elsewhere.prompt(POISON);
    let actions = elsewhere.submit(prompt);

    assert_eq!(finished(&actions)[0].reason, Reason::Poison);
}

#[test]
fn what_peers_tell_twice_counts_once_and_ends_in_time() {
    let mut bench = bench();
    let told = |deaths: &[u128], keep_ms| News {
        poison: vec![PoisonNews {
            fingerprint: POISON,
            deaths: deaths.iter().map(|run| Incarnation(*run)).collect(),
            keep_ms,
            alone: Vec::new(),
        }],
        ..News::default()
    };
    bench.news(PEER, told(&[1, 2], 5_000));
    bench.news(PEER, told(&[2, 1], 5_000));
    let prompt = bench.prompt(POISON);
    let twice = bench.submit(prompt);
    bench.news(PEER, told(&[3], 5_000));
    let prompt = bench.prompt(POISON);
    let thrice = bench.submit(prompt);
    bench.pass(5_100);
    let prompt = bench.prompt(POISON);
    let later = bench.submit(prompt);

    assert_eq!(dispatches(&twice).len(), 1);
    assert_eq!(finished(&thrice)[0].reason, Reason::Poison);
    assert_eq!(dispatches(&later).len(), 1);
}

#[test]
fn a_broken_connection_to_an_engine_that_lives_is_no_death() {
    let mut bench = bench();
    for _ in 0..4 {
        let prompt = bench.prompt(POISON);
        let attempt = dispatches(&bench.submit(prompt))[0].attempt;
        let actions = bench.attempt(attempt, AttemptEvent::Broken { chunks: 0 });
        let mut again = dispatches(&actions);
        again.extend(dispatches(&bench.pass(2_000)));
        bench.attempt(again[0].attempt, AttemptEvent::Completed);
    }

    let prompt = bench.prompt(POISON);
    assert_eq!(dispatches(&bench.submit(prompt)).len(), 1);
}
