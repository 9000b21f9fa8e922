//! Late idempotent calls, which are sent to a second target.

use {
    super::{
        fixture::{get, until},
        paused_fleet::{Fleet, Published},
    },
    std::sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, CallerResponse, Fixture, SAFE_PREFIX,
        TargetStandin, names::LAST_EVENT_HEADER,
    },
};

/// Time after which a call is hedged while no answer times are known, in ms: half of the objective.
const HEDGE_DELAY_MS: u64 = 150;
/// A time by which any call that may be hedged has been, in ms.
const HEDGED_MS: u64 = HEDGE_DELAY_MS + 20;
/// Timeout of the routes in tests that wait for it, in ms.
const SHORT_TIMEOUT_MS: u64 = 1_000;

fn safe_call() -> CallerRequest {
    CallerRequest::new("GET", format!("{SAFE_PREFIX}listing"))
}

/// What a target does with a call.
#[derive(Clone)]
enum Step {
    /// It behaves like this as soon as the call arrives.
    AtOnce(Behaviour),
    /// It behaves like this once the test releases the step.
    Held(Behaviour),
}

use Step::{AtOnce, Held};

/// Targets of the plain service. They take the steps in the order in which calls arrive at any of them; the last
/// step is repeated.
struct Targets {
    targets: Vec<TargetStandin>,
    gates: Arc<Vec<Gate>>,
}

/// Holds a call until it is opened.
#[derive(Default)]
struct Gate {
    is_open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn wait(&self) {
        let is_open = self.is_open.lock().unwrap();
        let _open = self.opened.wait_while(is_open, |is_open| !*is_open);
    }

    fn open(&self) {
        *self.is_open.lock().unwrap() = true;
        self.opened.notify_all();
    }
}

impl Targets {
    fn start(count: usize, steps: &[Step]) -> Self {
        let gates: Vec<Gate> = steps.iter().map(|_step| Gate::default()).collect();
        let gates = Arc::new(gates);
        let arrived = Arc::new(AtomicUsize::new(0));
        let start = |number: usize| {
            let (steps, arrived) = (steps.to_vec(), Arc::clone(&arrived));
            let gates = Arc::clone(&gates);
            TargetStandin::start_choosing(&format!("p-{number}"), move |_request| {
                let arrival = arrived.fetch_add(1, Ordering::SeqCst);
                let step = arrival.min(steps.len() - 1);
                match &steps[step] {
                    AtOnce(behaviour) => behaviour.clone(),
                    Held(behaviour) => {
                        gates[step].wait();
                        behaviour.clone()
                    }
                }
            })
        };
        let targets = (1..=count).map(start).collect();
        Self { targets, gates }
    }

    async fn fleet(&self) -> Fleet {
        let fleet = Fleet::start(Published::Plain(&self.targets[0])).await;
        for target in &self.targets[1..] {
            fleet.add(Published::Plain(target)).await;
        }
        fleet
    }

    /// Releases the call that is held in a step.
    fn release(&self, step: usize) {
        self.gates[step].open();
    }

    fn arrivals(&self) -> usize {
        let targets = self.targets.iter();
        targets.map(|target| target.arrivals().len()).sum()
    }

    fn closed(&self) -> usize {
        let targets = self.targets.iter();
        targets.map(TargetStandin::closed_by_peer).sum()
    }

    async fn wait_for_arrivals(&self, count: usize) {
        until(|| self.arrivals() >= count).await;
    }
}

/// Sends a call to the first instance and advances the clock beyond the delay of a hedge once a target has it.
async fn send_and_wait(fleet: &Fleet, targets: &Targets, request: &CallerRequest) -> Caller {
    let before = targets.arrivals();
    let mut caller = Caller::connect(fleet.entries[0].settings().caller_address);
    caller.write(&request.text());
    targets.wait_for_arrivals(before + 1).await;
    fleet.advance(HEDGED_MS).await;
    caller
}

/// Sends a call to the first instance and waits until a second target has it as well.
async fn send_twice(fleet: &Fleet, targets: &Targets) -> Caller {
    let caller = send_and_wait(fleet, targets, &safe_call()).await;
    targets.wait_for_arrivals(2).await;
    caller
}

fn answer(mut caller: Caller) -> CallerResponse {
    caller.read().expect("an answer comes")
}

/// Returns the number of hedges of the first instance with an outcome.
fn hedges(fleet: &Fleet, outcome: &str) -> u32 {
    let name = format!("whinlatch_entry_hedges_total{{outcome=\"{outcome}\"}} ");
    metric(fleet, &name)
}

/// Returns the number of attempts of the first instance that failed, of those that may have run or the others.
fn failed_attempts(fleet: &Fleet, may_have_run: &str) -> u32 {
    let label = format!("{{may_have_run=\"{may_have_run}\"}}");
    metric(
        fleet,
        &format!("whinlatch_entry_attempts_failed_total{label} "),
    )
}

/// Returns the value of a metric of the first instance; `name` ends with a space.
fn metric(fleet: &Fleet, name: &str) -> u32 {
    let metrics = get(fleet.entries[0].settings().metrics_address, "/metrics").body;
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix(name));
    value.map_or(0, |value| value.parse().unwrap())
}

/// Has all instances use a timeout that a test can wait for.
async fn shorten_timeout(fleet: &Fleet) {
    let short = Fixture {
        version: 4,
        timeout_ms: SHORT_TIMEOUT_MS,
        ..Fixture::default()
    };
    short.publish(&fleet.store);
    let is_known = |fleet: &Fleet| fleet.entries.iter().all(|entry| entry.version() == 4);
    fleet.advance_until(is_known).await;
}

/// Guards against idempotent calls that wait until their deadline for a target that never answers, and against
/// reuse of the connection on which its answer is pending.
#[async_std::test]
async fn a_late_call_is_answered_by_a_second_target() {
    let targets = Targets::start(
        2,
        &[AtOnce(Behaviour::Hang), AtOnce(Behaviour::Serve("listing"))],
    );
    let fleet = targets.fleet().await;

    let answer = answer(send_and_wait(&fleet, &targets, &safe_call()).await);

    assert_eq!((answer.status, answer.body.as_str()), (200, "listing"));
    until(|| targets.closed() == 1).await;
    assert_eq!(hedges(&fleet, "won"), 1);
    let mut each = targets.targets.iter();
    assert!(each.all(|target| target.arrivals().len() == 1));
}

/// Guards against a hedge of a call that names the last event that its caller has, and whose second target isn't told.
#[async_std::test]
async fn a_second_target_learns_of_the_last_event() {
    let targets = Targets::start(
        2,
        &[AtOnce(Behaviour::Hang), AtOnce(Behaviour::Serve("listing"))],
    );
    let fleet = targets.fleet().await;
    let resumed = CallerRequest {
        extra_headers: vec![(LAST_EVENT_HEADER, "7".to_owned())],
        ..safe_call()
    };

    let answer = answer(send_and_wait(&fleet, &targets, &resumed).await);

    assert_eq!(answer.status, 200);
    for target in &targets.targets {
        let arrivals = target.arrivals();
        let named = arrivals.iter().map(|call| call.header(LAST_EVENT_HEADER));
        assert_eq!(named.collect::<Vec<_>>(), [Some("7")]);
    }
}

/// Guards against two runs of a call that may run at most once, after its target didn't answer in time.
#[async_std::test]
async fn a_call_that_may_run_at_most_once_is_not_hedged() {
    let targets = Targets::start(2, &[Held(Behaviour::Serve("printed"))]);
    let fleet = targets.fleet().await;
    let request = CallerRequest {
        body: "label".to_owned(),
        ..CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
    };

    let caller = send_and_wait(&fleet, &targets, &request).await;
    fleet.advance(HEDGED_MS).await;
    targets.release(0);

    assert_eq!(answer(caller).body, "printed");
    assert_eq!((targets.arrivals(), hedges(&fleet, "denied")), (1, 0));
}

/// Guards against a call that waits for its second attempt although the first one has succeeded meanwhile.
#[async_std::test]
async fn the_first_attempt_may_succeed_before_the_second() {
    let targets = Targets::start(
        2,
        &[Held(Behaviour::Serve("listing")), AtOnce(Behaviour::Hang)],
    );
    let fleet = targets.fleet().await;

    let caller = send_twice(&fleet, &targets).await;
    targets.release(0);

    assert_eq!(answer(caller).body, "listing");
    until(|| targets.closed() == 1).await;
    assert_eq!(hedges(&fleet, "lost"), 1);
}

/// Guards against a call that fails with its second attempt though the first one succeeds: the second target
/// crashes or is full.
#[async_std::test]
async fn the_first_attempt_continues_when_the_second_fails() {
    for (failure, may_have_run) in [(Behaviour::DropResponse, "yes"), (Behaviour::Shed, "no")] {
        let steps = [Held(Behaviour::Serve("listing")), AtOnce(failure.clone())];
        let targets = Targets::start(2, &steps);
        let fleet = targets.fleet().await;

        let caller = send_twice(&fleet, &targets).await;
        until(|| failed_attempts(&fleet, may_have_run) == 1).await;
        targets.release(0);

        assert_eq!(answer(caller).body, "listing", "{failure:?}");
        assert_eq!(targets.arrivals(), 2, "{failure:?}");
        assert_eq!(hedges(&fleet, "failed"), 1, "{failure:?}");
    }
}

/// As above, but the second target answers with an error, or with a status that can't be passed on.
#[async_std::test]
async fn an_error_of_the_second_target_does_not_end_the_first_attempt() {
    for status in [500, 429] {
        let steps = [
            Held(Behaviour::Serve("listing")),
            AtOnce(Behaviour::Fail(status)),
        ];
        let targets = Targets::start(2, &steps);
        let fleet = targets.fleet().await;

        let caller = send_twice(&fleet, &targets).await;
        fleet.advance(HEDGED_MS).await;
        targets.release(0);

        assert_eq!(answer(caller).body, "listing", "{status}");
        assert_eq!(targets.arrivals(), 2, "{status}");
    }
}

/// Guards against a call that fails with its first attempt while the second one is still in flight.
#[async_std::test]
async fn the_second_attempt_continues_when_the_first_fails() {
    let steps = [
        Held(Behaviour::DropResponse),
        Held(Behaviour::Serve("listing")),
    ];
    let targets = Targets::start(2, &steps);
    let fleet = targets.fleet().await;

    let caller = send_twice(&fleet, &targets).await;
    targets.release(0);
    until(|| failed_attempts(&fleet, "yes") == 1).await;
    targets.release(1);

    assert_eq!(answer(caller).body, "listing");
    assert_eq!((targets.arrivals(), hedges(&fleet, "won")), (2, 1));
}

/// Guards against a third run of a call whose route allows two, after both attempts failed.
#[async_std::test]
async fn two_failed_attempts_use_up_the_runs_of_a_call() {
    let steps = [
        Held(Behaviour::Fail(500)),
        AtOnce(Behaviour::DropResponse),
        AtOnce(Behaviour::Serve("listing")),
    ];
    let targets = Targets::start(3, &steps);
    let fleet = targets.fleet().await;

    let caller = send_twice(&fleet, &targets).await;
    until(|| failed_attempts(&fleet, "yes") == 1).await;
    targets.release(0);

    assert_eq!(answer(caller).status, 500);
    assert_eq!(targets.arrivals(), 2);
}

/// Guards against an answer that promises that a call hasn't run, after its second target confirmed this while the
/// first one may be running it.
#[async_std::test]
async fn a_call_is_not_refused_while_its_first_attempt_may_have_run() {
    let steps = [AtOnce(Behaviour::Hang), AtOnce(Behaviour::Shed)];
    let targets = Targets::start(2, &steps);
    let fleet = targets.fleet().await;
    shorten_timeout(&fleet).await;

    let caller = send_twice(&fleet, &targets).await;
    until(|| failed_attempts(&fleet, "no") == 1).await;
    fleet.advance(SHORT_TIMEOUT_MS).await;

    assert_eq!(answer(caller).status, 504);
}

/// Guards against an answer that leaves open whether a call has run, though both targets confirm that it hasn't.
#[async_std::test]
async fn a_call_that_neither_target_ran_is_refused() {
    let targets = Targets::start(2, &[Held(Behaviour::Shed), AtOnce(Behaviour::Shed)]);
    let fleet = targets.fleet().await;

    let caller = send_twice(&fleet, &targets).await;
    until(|| failed_attempts(&fleet, "no") == 1).await;
    targets.release(0);
    let answer = answer(caller);

    assert_eq!(answer.status, 503);
    assert!(answer.header("Retry-After").is_some());
    assert_eq!(targets.arrivals(), 2);
}

/// Guards against a second attempt that keeps its target working after the caller has closed its connection.
#[async_std::test]
async fn a_caller_that_disconnects_cancels_both_attempts() {
    let targets = Targets::start(2, &[AtOnce(Behaviour::Hang)]);
    let fleet = targets.fleet().await;

    send_twice(&fleet, &targets).await.disconnect();

    until(|| targets.closed() == 2).await;
    until(|| hedges(&fleet, "failed") == 1).await;
}

/// Guards against a call without an end, or with attempts beyond two, when neither target answers.
#[async_std::test]
async fn a_call_that_neither_target_answers_ends_at_its_deadline() {
    let targets = Targets::start(3, &[AtOnce(Behaviour::Hang)]);
    let fleet = targets.fleet().await;
    shorten_timeout(&fleet).await;

    let caller = send_twice(&fleet, &targets).await;
    fleet.advance(SHORT_TIMEOUT_MS).await;

    assert_eq!(answer(caller).status, 504);
    until(|| targets.closed() == 2).await;
    assert_eq!(targets.arrivals(), 2);
}

/// Load: calls of a service of which one target of five never answers. Guards against calls without an answer within
/// the objective, which is longer than the delay of a hedge, and against calls that the target goes on to get.
#[async_std::test]
async fn all_calls_are_answered_though_one_target_never_answers() {
    let silent = TargetStandin::start("p-0", Behaviour::Hang);
    let working = Targets::start(4, &[AtOnce(Behaviour::Serve("listing"))]);
    let fleet = Fleet::start(Published::Plain(&silent)).await;
    // It answers the first call, so that the instance prefers it to targets of which it knows no answer yet.
    silent.script([Behaviour::Serve("listing")]);
    fleet.status_of(0, &safe_call());
    for target in &working.targets {
        fleet.add(Published::Plain(target)).await;
    }

    for answered in 0..40 {
        let before = silent.arrivals().len();
        let mut caller = Caller::connect(fleet.entries[0].settings().caller_address);
        caller.write(&safe_call().text());
        until(|| working.arrivals() > answered || silent.arrivals().len() > before).await;
        if silent.arrivals().len() > before {
            fleet.advance(HEDGED_MS).await;
        }
        assert_eq!(answer(caller).body, "listing");
    }

    let silent_arrivals = silent.arrivals().len() - 1;
    assert!((1..=2).contains(&silent_arrivals), "{silent_arrivals}");
    assert_eq!(hedges(&fleet, "won") as usize, silent_arrivals);
}

/// Guards against twice the load on a service whose targets are all slow.
#[async_std::test]
async fn only_a_share_of_the_calls_is_hedged() {
    let targets = Targets::start(2, &[AtOnce(Behaviour::Hang)]);
    let fleet = targets.fleet().await;
    let mut callers = Vec::new();

    // The limit allows a burst of two.
    for arrivals in [2, 4] {
        callers.push(send_and_wait(&fleet, &targets, &safe_call()).await);
        targets.wait_for_arrivals(arrivals).await;
    }
    for denied in [1, 2] {
        callers.push(send_and_wait(&fleet, &targets, &safe_call()).await);
        until(|| hedges(&fleet, "denied") == denied).await;
    }

    assert_eq!(targets.arrivals(), 6);
}
