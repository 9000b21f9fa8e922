//! Test fixture for requests, tickets and orders: a core with records, targets and callers.

#![expect(dead_code, reason = "each test file uses a part of it")]

use {
    std::sync::Arc,
    whinlatch_core::{
        Action, AttemptEvent, Core, CoreOptions, Dispatch, Event, MonoMs, PlatformEvent,
        Submission, TargetCall, TargetEvent, Work,
    },
    whinlatch_wire::{
        caller::{Outcome, OutcomeKind},
        ids::{AttemptId, Incarnation, RecordKey, RequestId, Revision, Ticket},
        peer::{Hello, MemberNews, MemberState, News, PeerFrame},
        platform::RecordPage,
        record::RecordEnvelope,
        target::{LoadReport, Refusal, RefusalReason},
    },
};

/// Incarnation of the core under test.
pub const HOME: Incarnation = Incarnation(0xA);
/// Engines that serve the model `m`.
pub const ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];
/// Targets that provide the plain service `labels`.
pub const SERVICES: [&str; 2] = ["s1", "s2"];
/// Digest of the key that all callers present.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Deadline of the requests, in ms from their submission.
pub const DEADLINE_MS: u64 = 60_000;

/// A core under test with a manual clock, in ms.
pub struct Bench {
    pub core: Core,
    pub now: u64,
    next_request: u128,
}

/// Returns a ready core: it has its records and a report of each target.
pub fn bench() -> Bench {
    bench_with(&[])
}

/// Like [`bench`], with additional records, each a key and a value.
pub fn bench_with(more: &[(&str, String)]) -> Bench {
    let mut bench = Bench::empty(HOME);
    bench.publish(records().iter().chain(more));
    bench.report_all();
    bench
}

impl Bench {
    pub fn empty(incarnation: Incarnation) -> Self {
        Self {
            core: Core::new(MonoMs(1_000), options(incarnation)),
            now: 1_000,
            next_request: 1,
        }
    }

    pub fn publish<'a>(&mut self, records: impl Iterator<Item = &'a (&'a str, String)>) {
        let records = records
            .enumerate()
            .map(|(index, (key, value))| envelope(key, 1 + index as u64, Some(value)))
            .collect();
        self.publish_page(records);
    }

    pub fn publish_page(&mut self, records: Vec<RecordEnvelope>) {
        let page = RecordPage {
            revision: records.last().map_or(Revision(0), |last| last.revision),
            records,
            more: false,
        };
        self.event(Event::Platform(PlatformEvent::Records(page)));
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        self.core.handle(MonoMs(self.now), event)
    }

    pub fn report_all(&mut self) -> Vec<Action> {
        let names = ENGINES.iter().chain(&SERVICES);
        names
            .flat_map(|name| self.report(name, run_of(name)))
            .collect()
    }

    pub fn report(&mut self, target: &str, incarnation: Incarnation) -> Vec<Action> {
        self.report_with(target, report(incarnation))
    }

    pub fn report_with(&mut self, target: &str, report: LoadReport) -> Vec<Action> {
        self.event(Event::Target {
            target: target.into(),
            event: TargetEvent::Report(report),
        })
    }

    /// Advances the clock by `ms` with a tick every 50 ms, before which all targets report.
    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.advance_with(ms, Self::report_all)
    }

    /// Like [`Bench::advance`], but runs `before_tick` before each tick instead of the reports.
    pub fn advance_with(
        &mut self,
        ms: u64,
        mut before_tick: impl FnMut(&mut Self) -> Vec<Action>,
    ) -> Vec<Action> {
        let end = self.now + ms;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 50).min(end);
            actions.extend(before_tick(self));
            actions.extend(self.event(Event::Tick));
        }
        actions
    }

    pub fn submit(&mut self, submission: Submission) -> Vec<Action> {
        self.event(Event::Submit(Box::new(submission)))
    }

    /// Builds a prompt of the account `acme`.
    pub fn prompt(&mut self, fingerprint: u64) -> Submission {
        let work = Work::Prompt {
            model: "m".into(),
            adapter: None,
            prompt_tokens: 1_000,
            max_tokens: 16,
            prefix_hashes: Vec::new(),
        };
        self.submission(work, fingerprint)
    }

    /// Builds a call of the account `acme` to the service `labels`, which must not run twice.
    pub fn label(&mut self, ticket: Option<Ticket>) -> Submission {
        let work = Work::Call {
            service: "labels".into(),
        };
        Submission {
            ticket,
            ..self.submission(work, 77)
        }
    }

    fn submission(&mut self, work: Work, fingerprint: u64) -> Submission {
        self.next_request += 1;
        Submission {
            request: RequestId(self.next_request),
            account: "acme".into(),
            caller: None,
            key_sha256: KEY.to_owned(),
            deadline_ms: DEADLINE_MS,
            ticket: None,
            idempotency_key: None,
            forwarded_by: None,
            fingerprint,
            work,
        }
    }

    /// Obtains a new ticket for [`Bench::label`].
    pub fn ticket(&mut self) -> Ticket {
        let label = self.label(None);
        let actions = self.submit(label);
        finished(&actions)[0].ticket.expect("a ticket is issued")
    }

    /// Submits a label call under the ticket while every target is full, and returns its outcome.
    pub fn label_refused(&mut self, ticket: Ticket) -> OutcomeKind {
        let label = self.label(Some(ticket));
        let mut actions = self.submit(label);
        while let Some(next) = dispatches(&actions).first() {
            actions = self.refuse(next.attempt, RefusalReason::Full);
        }
        finished(&actions)[0].outcome
    }

    /// Submits a label call under a new ticket. Its attempt is in flight.
    pub fn label_in_flight(&mut self) -> (Ticket, RequestId, Dispatch) {
        let ticket = self.ticket();
        let label = self.label(Some(ticket));
        let request = label.request;
        let actions = self.submit(label);
        (ticket, request, dispatches(&actions)[0].clone())
    }

    pub fn attempt(&mut self, attempt: AttemptId, event: AttemptEvent) -> Vec<Action> {
        self.event(Event::Attempt { attempt, event })
    }

    pub fn refuse(&mut self, attempt: AttemptId, reason: RefusalReason) -> Vec<Action> {
        let refusal = Refusal {
            attempt,
            reason,
            retry_after_ms: None,
        };
        self.attempt(attempt, AttemptEvent::Refused(refusal))
    }

    /// Opens a link to the daemon `incarnation`.
    pub fn link(&mut self, incarnation: Incarnation) -> Vec<Action> {
        let hello = hello(incarnation);
        self.event(Event::PeerUp { hello })
    }

    /// Delivers news from the daemon `from`.
    pub fn news(&mut self, from: Incarnation, news: News) -> Vec<Action> {
        let frame = PeerFrame {
            news,
            ..PeerFrame::default()
        };
        self.event(Event::PeerFrame {
            from,
            frame: Box::new(frame),
        })
    }

    /// Delivers news from the daemon `from` about the state of the daemon `of`.
    pub fn member_news(&mut self, from: Incarnation, of: Incarnation, state: MemberState) {
        let hello = hello(of);
        let member = MemberNews {
            incarnation: of,
            instance: hello.instance,
            failure_domain: hello.failure_domain,
            caller_address: hello.caller_address,
            peer_address: hello.peer_address,
            version: 1,
            state,
        };
        let members = vec![member];
        self.news(
            from,
            News {
                members,
                ..News::default()
            },
        );
    }
}

pub fn options(incarnation: Incarnation) -> CoreOptions {
    let hello = hello(incarnation);
    CoreOptions {
        instance: hello.instance,
        failure_domain: hello.failure_domain,
        incarnation,
        caller_address: hello.caller_address,
        peer_address: hello.peer_address,
        seed_peers: Vec::new(),
        seed: incarnation.0 as u64,
    }
}

pub fn hello(incarnation: Incarnation) -> Hello {
    let host = incarnation.0 as u8;
    Hello {
        protocol: 1,
        instance: format!("d{host}").as_str().into(),
        incarnation,
        failure_domain: "a".into(),
        caller_address: ([127, 0, 0, host], 80).into(),
        peer_address: ([127, 0, 0, host], 81).into(),
        nonce: 0,
    }
}

pub fn envelope(key: &str, revision: u64, value: Option<&str>) -> RecordEnvelope {
    RecordEnvelope {
        key: RecordKey::new(key),
        revision: Revision(revision),
        value: value.map(Arc::from),
    }
}

pub fn records() -> Vec<(&'static str, String)> {
    let mut records = vec![
        ("account-1", account("acme")),
        ("account-2", account("other")),
        ("route-1", route(r#"{"type":"model","model":"m"}"#)),
        (
            "route-2",
            route(r#"{"type":"service","service":"labels","idempotent":false}"#),
        ),
    ];
    let engines = ENGINES.iter().map(|name| (*name, engine(name, &[1])));
    records.extend(engines);
    let role = r#"{"type":"service","service":"labels"}"#;
    let services = SERVICES.iter().map(|name| (*name, target(name, role)));
    records.extend(services);
    records
}

fn account(name: &str) -> String {
    format!(
        r#"{{"schema":2,"kind":"account","spec":{{"account":"{name}","key_sha256":["{KEY}"],
        "requests_per_s":1e6,"tokens_per_s":1e9}}}}"#
    )
}

fn route(subject: &str) -> String {
    format!(
        r#"{{"schema":2,"kind":"route","spec":{{"subject":{subject},
        "providers":[{{"provider":"old","share_per_mille":1000}}]}}}}"#
    )
}

/// Builds the record of an engine that is to serve model `m` in these versions.
pub fn engine(name: &str, versions: &[u32]) -> String {
    let models: Vec<String> = versions
        .iter()
        .map(|version| format!(r#"{{"model":"m","version":{version}}}"#))
        .collect();
    let role = format!(
        r#"{{"type":"engine","models":[{}],"memory_tokens":1000000,
        "prefill_tokens_per_s":100000,"enforces_fencing":false}}"#,
        models.join(",")
    );
    target(name, &role)
}

fn target(name: &str, role: &str) -> String {
    let port = name.bytes().map(u32::from).sum::<u32>();
    format!(
        r#"{{"schema":2,"kind":"target","spec":{{"target":"{name}","address":"127.1.0.1:{port}",
        "failure_domain":"a","provider":"old","slots":16,"role":{role}}}}}"#
    )
}

pub fn policy(fields: &str) -> (&'static str, String) {
    (
        "policy",
        format!(r#"{{"schema":2,"kind":"policy","spec":{{{fields}}}}}"#),
    )
}

/// Returns the incarnation of the first run of a target.
pub fn run_of(target: &str) -> Incarnation {
    Incarnation(0x1000 + target.bytes().map(u128::from).sum::<u128>())
}

pub fn report(incarnation: Incarnation) -> LoadReport {
    LoadReport {
        incarnation,
        leaving: false,
        running: 0,
        waiting: 0,
        prefill_tokens_left: 0,
        memory_used_tokens: 0,
        memory_total_tokens: 1_000_000,
        holdings: Vec::new(),
    }
}

pub fn dispatches(actions: &[Action]) -> Vec<Dispatch> {
    let dispatches = actions.iter().filter_map(|action| match action {
        Action::Dispatch(dispatch) => Some((**dispatch).clone()),
        _ => None,
    });
    dispatches.collect()
}

pub fn finished(actions: &[Action]) -> Vec<Outcome> {
    let finished = actions.iter().filter_map(|action| match action {
        Action::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    });
    finished.collect()
}

pub fn replayed(actions: &[Action]) -> Vec<Outcome> {
    let replayed = actions.iter().filter_map(|action| match action {
        Action::Replay { outcome, .. } => Some(outcome.clone()),
        _ => None,
    });
    replayed.collect()
}

/// Returns the calls to targets that aren't attempts, each with the target's name.
pub fn calls(actions: &[Action]) -> Vec<(String, TargetCall)> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Call { target, call, .. } => Some((target.as_str().to_owned(), call.clone())),
        _ => None,
    });
    calls.collect()
}

/// Returns the news in the frames sent to peers.
pub fn sent_news(actions: &[Action]) -> Vec<News> {
    let news = actions.iter().filter_map(|action| match action {
        Action::Send { frame, .. } => Some(frame.news.clone()),
        _ => None,
    });
    news.collect()
}
