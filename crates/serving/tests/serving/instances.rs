//! Frames that instances exchange, and what they change at the receiver.

use {
    super::fixture::{
        CALLER, GROUP, SHUTDOWN, START, change, instance, member, place, prompt_request, removal,
    },
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        DecisionInputs, Serving,
        catalog::{Configuration, Limits},
        fleet::{Frame, Membership, Placement, PublishedText},
        targets::TargetState,
    },
};

fn no_configuration(_text: &str) -> Option<Configuration> {
    None
}

/// Delivers the news of one instance to another.
fn deliver_news(from: &mut Serving, run: u64, to: &mut Serving, now: MonoMs) {
    for (_recipients, news) in from.take_news() {
        to.on_frame(now, run, news, no_configuration);
    }
}

/// Guards against nine instances that each choose the engine which all of them consider idle.
#[test]
fn an_instance_knows_what_its_peer_has_placed() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    let long = place(&mut first, START, 400_000).unwrap();
    deliver_news(&mut first, 1, &mut second, START + 20);

    let short = place(&mut second, START + 20, 5_000);

    // Both engines read the long prompt for seconds: nobody would wait for the short one.
    assert_eq!(long.helpers.len(), 1);
    short.unwrap_err();
}

#[test]
fn a_prompt_that_ended_at_a_peer_frees_its_engines() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    let long = place(&mut first, START, 400_000).unwrap();
    deliver_news(&mut first, 1, &mut second, START + 20);

    first.record_prompt_ended(long.job);
    deliver_news(&mut first, 1, &mut second, START + 40);

    place(&mut second, START + 40, 5_000).unwrap();
}

/// Guards against engines that are considered busy for half a minute, because the instance that placed
/// prompts there has died and never reports their end.
#[test]
fn prompts_of_a_silent_peer_are_dropped() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    second.on_frame(
        START,
        1,
        first.heartbeat(START, false).frame,
        no_configuration,
    );
    place(&mut first, START, 400_000).unwrap();
    deliver_news(&mut first, 1, &mut second, START);

    second.tick(START + 1_300);

    place(&mut second, START + 1_300, 5_000).unwrap();
}

#[test]
fn a_snapshot_replaces_earlier_news() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    let long = place(&mut first, START, 400_000).unwrap();
    deliver_news(&mut first, 1, &mut second, START);
    first.record_prompt_ended(long.job);

    // The news of the end was lost with the link; the next link begins with all prompts in flight.
    second.on_frame(
        START + 500,
        1,
        first.job_snapshot(START + 500, &[GROUP]),
        no_configuration,
    );

    place(&mut second, START + 500, 5_000).unwrap();
}

#[test]
fn only_instances_that_serve_are_named_to_callers() {
    let mut serving = instance(1, 1);
    let frame_of = |member| Frame {
        member: Some(member),
        ..Frame::default()
    };
    let leaving = whinlatch_serving::fleet::Member {
        leaving: true,
        ..member(3, 8_100)
    };
    serving.on_frame(START, 2, frame_of(member(2, 8_000)), no_configuration);
    serving.on_frame(START, 3, frame_of(leaving), no_configuration);

    let now = serving.caller_addresses(START + 1_000, CALLER, 64);
    let later = serving.caller_addresses(START + 2_000, CALLER, 64);

    assert_eq!(now.len(), 2);
    assert_eq!(later.len(), 1);
}

#[test]
fn an_instance_that_leaves_names_itself_no_more() {
    let mut serving = instance(1, 1);

    serving.leave(START, SHUTDOWN);

    assert!(!serving.is_ready());
    assert!(serving.caller_addresses(START, CALLER, 64).is_empty());
}

/// Guards against an instance that drops all others after its own process was paused, because it takes the
/// time in which it couldn't receive frames for their silence.
#[test]
fn a_pause_of_this_process_is_not_counted_as_silence_of_others() {
    let mut members = Membership::default();
    members.apply_member(START, member(2, 8_000));

    members.reset_silence(START + 5_000);

    assert_eq!(members.live_members(START + 5_100).count(), 1);
    assert_eq!(members.live_members(START + 7_000).count(), 0);
}

#[test]
fn an_instance_that_came_back_replaces_its_former_run() {
    let mut members = Membership::default();
    members.apply_member(START, member(2, 8_000));

    let former = members.apply_member(START + 10, member(5, 8_000));

    assert_eq!(former, Some(2));
    assert_eq!(members.live_members(START + 20).count(), 1);
    assert_eq!(members.peak_size(), 2);
}

#[test]
fn a_configuration_of_a_peer_takes_effect_only_if_it_is_newer() {
    let mut serving = instance(1, 1);
    let frame = |version| Frame {
        configuration: Some(PublishedText {
            version,
            text: version.to_string(),
        }),
        ..Frame::default()
    };
    let decode = |text: &str| {
        let version = text.parse().ok()?;
        let limits = Limits::default();
        Some(Configuration::new(version, limits, vec![], vec![], vec![]))
    };

    serving.on_frame(START, 2, frame(9), decode);
    serving.on_frame(START, 2, frame(4), decode);

    assert_eq!(serving.version(), 9);
}

/// Guards against requests to a target that has left, for as long as the store refuses this instance: only
/// its peers know of the removal.
#[test]
fn an_instance_that_lags_gets_what_it_lacks_from_a_peer() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    second.record_store_failure(START);
    first.apply_store_change(START, &removal("e-00", 9));
    second.on_frame(
        START,
        1,
        first.heartbeat(START, false).frame,
        no_configuration,
    );

    let (peers, frame) = second.catch_up_request(START).unwrap();
    let lacking = first.catch_up_response(START, &frame.catch_up_request.unwrap());
    second.on_frame(START, 1, lacking, no_configuration);

    assert_eq!(peers, [first.peer_address()]);
    assert_eq!(second.ready_targets(), ["e-01"]);
    assert_eq!(second.catch_up_request(START), None);
}

/// Guards against a watch of the store that looks sound but delivers nothing, as if nothing changed.
#[test]
fn an_instance_whose_watch_is_silent_learns_of_it_from_its_peers() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    first.apply_store_change(START, &removal("e-00", 9));
    second.on_frame(
        START,
        1,
        first.heartbeat(START, false).frame,
        no_configuration,
    );

    second.tick(START);
    let immediately = second.catch_up_request(START);
    second.tick(START + 600);
    let later = second.catch_up_request(START + 600);

    assert_eq!(immediately, None);
    assert!(later.is_some());
    assert!(second.is_lagging(START + 600));
}

#[test]
fn older_news_of_a_target_does_not_bring_it_back() {
    let mut serving = instance(1, 1);
    let frame = Frame {
        targets: vec![removal("e-00", 9)],
        ..Frame::default()
    };
    serving.on_frame(START, 2, frame, no_configuration);

    serving.apply_store_change(START, &change("e-00", 8, TargetState::Ready));

    assert!(serving.ready_targets().is_empty());
}

#[test]
fn engines_that_a_peer_chose_are_used_if_they_are_known_here() {
    let (mut first, mut second) = (instance(1, 2), instance(2, 2));
    let placed = place(&mut first, START, 5_000).unwrap();
    let news = first.take_news();
    let placement = Placement {
        placed: news[0].1.placed[0].clone(),
        first_event_ms: placed.first_event_ms,
        inputs: DecisionInputs::default(),
    };

    let taken = second.accept_placement(START, &placement);
    second.apply_store_change(START, &removal(&placed.engine.id, 9));
    let gone = second.accept_placement(START, &placement);

    assert_eq!(taken.unwrap().engine.id, placed.engine.id);
    assert!(gone.is_none());
}

/// Guards against engines that are considered busy for half a minute with a prompt that was never sent,
/// because its caller left while a peer was choosing engines for it.
#[test]
fn the_end_of_a_prompt_is_sent_though_its_engines_were_never_used() {
    let (mut requester, mut deciding) = (instance(1, 2), instance(2, 2));
    let long = prompt_request(400_000);
    let job = requester.admit_prompt(START, &long).unwrap();
    requester.record_placement_request(job, GROUP);
    deciding.choose_engines(START, job, GROUP, &long).unwrap();

    requester.record_prompt_ended(job);
    deliver_news(&mut requester, 1, &mut deciding, START + 20);

    place(&mut deciding, START + 20, 5_000).unwrap();
}
