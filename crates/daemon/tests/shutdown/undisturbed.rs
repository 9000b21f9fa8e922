//! What must not cut a request off: a reader of the log that has stopped, signals to reload, and new configurations.

use {
    super::{
        caller::{Load, passed_on},
        fixture::{Process, store},
    },
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, Caller, CallerRequest, EchoStream, Fixture, STREAM_PREFIX,
        StoreStandin, TargetStandin,
    },
};

/// Time from the signal until the platform would kill the process, in s.
const GRACE_S: u64 = 10;
/// Requests that are served before and after each disturbance.
const SERVED_BETWEEN: usize = 6;
/// Requests whose log lines exceed what a pipe holds.
const REQUESTS_TO_FILL_PIPE: usize = 400;
/// Idle timeouts of successive configurations, in ms.
const IDLE_TIMEOUTS_MS: [u64; 6] = [200, 15_000, 40, 2_000, 100, 15_000];
/// Version of the first configuration after the default one.
const NEXT_VERSION: u64 = 4;

fn call() -> CallerRequest {
    CallerRequest::new("POST", format!("{CALL_PREFIX}print"))
}

fn stream() -> CallerRequest {
    CallerRequest::prompt(format!("{STREAM_PREFIX}x"), 2_000)
}

fn short_stream() -> Behaviour {
    Behaviour::EchoStream(EchoStream {
        begins_after_ms: 0,
        last: 10,
        pause_ms: 20,
        breaks_after: None,
    })
}

/// Guards against a process that hangs at its exit, or at a request, since its log is blocked.
#[test]
fn a_process_whose_log_is_not_read_serves_and_exits() {
    let plain = TargetStandin::start("p-1", Behaviour::Echo);
    let store = store(&[], &[&plain]);
    let mut process = Process::start_unread(&store, GRACE_S);
    let mut caller = Caller::connect(process.settings.callers());

    let statuses = (0..REQUESTS_TO_FILL_PIPE).map(|_| caller.exchange(&call()).status);
    let served = statuses.filter(|status| *status == 200).count();
    process.stop();

    assert_eq!(served, REQUESTS_TO_FILL_PIPE);
    assert!(process.exits());
}

/// Signals a process to reload its settings again and again under a load, with settings that can't be read in between.
fn reload_under_load(process: &Process, load: &Load) {
    let text = process.settings.text();
    for (round, text) in [&*text, "Node=", "", &*text].into_iter().enumerate() {
        process.write_settings(text);
        process.reload();
        process.reload();
        load.wait_until_served((round + 1) * SERVED_BETWEEN);
    }
}

/// Publishes configurations with other idle timeouts under a load.
fn configure_under_load(store: &StoreStandin, load: &Load) {
    for (version, idle_timeout_ms) in (NEXT_VERSION..).zip(IDLE_TIMEOUTS_MS) {
        let configuration = Fixture {
            version,
            idle_timeout_ms,
            ..Fixture::default()
        };
        configuration.publish(store);
        let changes = (version - NEXT_VERSION + 1) as usize;
        load.wait_until_served(changes * SERVED_BETWEEN);
    }
}

/// Guards against requests that are cut by a signal to reload, also where the settings can't be read.
#[test]
fn reloads_cut_no_request_off() {
    let engine = TargetStandin::start("e-1", short_stream());
    let plain = TargetStandin::start("p-1", Behaviour::Echo);
    let store = store(&[&engine], &[&plain]);
    let process = Process::start(&store, GRACE_S);
    let cases: [(_, fn() -> CallerRequest); 2] = [(&engine, stream), (&plain, call)];

    for (target, request) in cases {
        let load = Load::default();
        let cut = load.run(process.settings.callers(), request, || {
            reload_under_load(&process, &load);
        });

        assert_eq!(passed_on(target, cut), Vec::<String>::new());
    }
}

/// Guards against requests that are cut by a configuration that comes into force, with another idle timeout each time.
#[test]
fn new_configurations_cut_no_request_off() {
    let engine = TargetStandin::start("e-1", short_stream());
    let plain = TargetStandin::start("p-1", Behaviour::Echo);
    let cases: [(_, fn() -> CallerRequest); 2] = [(&engine, stream), (&plain, call)];

    for (target, request) in cases {
        let store = store(&[&engine], &[&plain]);
        let process = Process::start(&store, GRACE_S);
        let load = Load::default();
        let cut = load.run(process.settings.callers(), request, || {
            configure_under_load(&store, &load);
        });

        assert_eq!(passed_on(target, cut), Vec::<String>::new());
    }
}
