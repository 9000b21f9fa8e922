//! Requests that crash each target that runs them, by the ways in which an attempt is sent and ends.

use {
    super::fixture::{World, until, world},
    whinlatch_platform_standins::{
        Behaviour, CALL_PREFIX, CallerRequest, TargetStandin, names::SEAL_HEADER,
    },
};

/// Targets of the service: more than may crash.
const TARGETS: [&str; 6] = ["p-1", "p-2", "p-3", "p-4", "p-5", "p-6"];
/// Good calls after which a break that is still unjudged is taken to stay so.
const MAX_GOOD_CALLS: usize = 5_000;

/// A call that runs once at most, so that it reaches one target.
fn call(name: &str) -> CallerRequest {
    CallerRequest {
        body: "label".to_owned(),
        ..CallerRequest::new("POST", format!("{CALL_PREFIX}{name}"))
    }
}

/// Starts targets that serve each call but the bad one.
fn targets(bad: &Behaviour) -> [TargetStandin; 6] {
    TARGETS.map(|id| {
        let bad = bad.clone();
        TargetStandin::start_choosing(id, move |request| {
            if request.target.ends_with("bad") {
                bad.clone()
            } else {
                Behaviour::Serve("printed")
            }
        })
    })
}

fn count_crashed(targets: &[TargetStandin]) -> usize {
    targets.iter().filter(|target| target.has_crashed()).count()
}

/// Starts an instance that keeps an idle connection to each target.
async fn world_with_connections(targets: &[TargetStandin]) -> World {
    let world = world(&[], &[&targets[0]]).await;
    for pair in targets.windows(2) {
        world.exchange(&call("good"));
        world.store.publish_plain(&pair[1]);
        world.store.remove_target(pair[0].id());
        until(|| world.entry.ready_targets() == [pair[1].id()]).await;
    }
    world.exchange(&call("good"));
    for target in targets {
        world.store.publish_plain(target);
    }
    until(|| world.entry.ready_targets().len() == targets.len()).await;
    world
}

/// Guards against a request that crashes one target after the other, since a break of a connection that was used before
/// counts for nothing.
#[async_std::test]
async fn a_call_that_crashes_targets_over_reused_connections_is_refused_after_three() {
    let targets = targets(&Behaviour::Crash);
    let world = world_with_connections(&targets).await;

    for _ in TARGETS {
        world.exchange(&call("bad"));
        until(|| world.entry.judged_breaks() >= count_crashed(&targets) as u64).await;
    }

    assert_eq!(count_crashed(&targets), 3);
    until(|| world.exchange(&call("good")).status == 200).await;
}

/// Guards against a request whose crashes look like whole answers: those without length and chunks end with their
/// connection, which a process that crashes closes too.
#[async_std::test]
async fn a_call_that_crashes_targets_in_an_answer_without_length_is_refused() {
    let head = format!("HTTP/1.1 200 OK\r\n{SEAL_HEADER}: seal\r\n\r\n");
    let targets = targets(&Behaviour::CrashInAnswer(format!("{head}a part")));
    let world = world(&[], &targets.each_ref()).await;

    for _ in TARGETS {
        world.exchange(&call("bad"));
        let mut good_calls = 0;
        while world.entry.judged_breaks() < count_crashed(&targets) as u64
            && good_calls < MAX_GOOD_CALLS
        {
            world.exchange(&call("good"));
            good_calls += 1;
        }
    }

    assert_eq!(count_crashed(&targets), 3);
}
