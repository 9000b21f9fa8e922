//! Engines, prompts and instances for tests, of the sizes that are in production today.

use {
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
    whinlatch_core::MonoMs,
    whinlatch_serving::{
        PromptPlacement, PromptRequest, Refusal, Serving,
        catalog::{Configuration, EngineSpec, Limits, Service},
        engines::EngineLoads,
        fleet::{EngineGroup, JobId, Member, PlacedPrompt},
        mechanism::DisabledMechanisms,
        names::{AccountId, ServiceName, SharedParts},
        placement::{Candidate, PromptShape},
        retries::FleetBudgetRule,
        shutdown::ShutdownRule,
        targets::{TargetChange, TargetEntry, TargetState},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A time well after the start of the process.
pub const START: MonoMs = MonoMs(100_000);

/// How an instance shuts down: the grace time and the use of address lists of today's deployments.
pub const SHUTDOWN: ShutdownRule = ShutdownRule {
    grace_ms: 8_000,
    list_use_ms: 3_000,
};

/// The group of all engines.
pub const GROUP: EngineGroup = EngineGroup {
    number: 0,
    count: 1,
};
/// Address of a caller.
pub const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1));

pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        memory_tokens: 405_000,
        step_ms: 1.31,
        per_writer_ms: 0.000_917,
        context_per_k_ms: 0.002_13,
        read_tokens_per_ms: 154.0,
        pairs_per_m_ms: 0.162,
        chunk_tokens: 2_048,
        stride_steps: 34,
        hop_ms: 0.1,
        report_lag_ms: 200,
    }
}

/// The service to which all engines belong.
pub fn service() -> Service {
    Service {
        name: "engines".into(),
        max_connections: 300,
        engine: Some(spec()),
        cold_start: None,
    }
}

/// A candidate with the same affinity as all others.
pub fn candidate<'a>(loads: &'a EngineLoads, engine: &str) -> Candidate<'a> {
    Candidate {
        is_limited: false,
        affinity: 0.5,
        load: loads.get(engine).unwrap(),
    }
}

pub fn job(number: u64) -> JobId {
    JobId { run: 1, number }
}

pub fn member(run: u64, port: u16) -> Member {
    Member {
        run,
        failure_domain: "east".into(),
        caller_address: ([10, 0, 0, 1], port).into(),
        peer_address: ([10, 0, 0, 1], port + 1).into(),
        cpu_millis: 250,
        heartbeat_interval_ms: 250,
        version: 1,
        revision: 1,
        ready: true,
        leaving: false,
        stated_at_ms: 0,
        reads_rows: true,
    }
}

pub fn rule() -> FleetBudgetRule {
    FleetBudgetRule {
        ratio: 0.2,
        slack: 100.0,
        window_ms: 10_000,
    }
}

pub fn engine_entry(name: &str, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: name.into(),
        started_at_ms: None,
        service: "engines".into(),
        address: address_of(name),
        failure_domain: "east".into(),
        slots: 16,
        state,
        cold_remaining_ms: 0,
    }
}

/// A distinct address for each target, derived from its name.
pub fn address_of(name: &str) -> SocketAddr {
    let hash = xxh3_64(name.as_bytes()).to_le_bytes();
    ([10, hash[0], hash[1], hash[2]], 80).into()
}

/// The entry of a run with a start time.
pub fn run_entry(name: &str, started_at_ms: u64) -> TargetEntry {
    TargetEntry {
        id: TargetEntry::run_id(name, Some(started_at_ms)),
        started_at_ms: Some(started_at_ms),
        ..engine_entry(name, TargetState::Ready)
    }
}

/// The publication of a run with a start time.
pub fn run_change(name: &str, revision: u64, started_at_ms: u64) -> TargetChange {
    TargetChange {
        entry: Some(run_entry(name, started_at_ms)),
        ..removal(name, revision)
    }
}

pub fn change(name: &str, revision: u64, state: TargetState) -> TargetChange {
    TargetChange {
        entry: Some(engine_entry(name, state)),
        ..removal(name, revision)
    }
}

pub fn removal(name: &str, revision: u64) -> TargetChange {
    TargetChange {
        name: name.into(),
        revision,
        entry: None,
        is_unreadable: false,
    }
}

/// An instance with a configuration and `engines` ready engines, named `e-00` and up.
pub fn instance(run: u64, engines: usize) -> Serving {
    let mut serving = Serving::new(member(run, 7_000 + 10 * run as u16), rule());
    let limits = Limits::default();
    let configuration = Configuration::new(1, limits, Vec::new(), vec![service()], Vec::new());
    serving.activate_configuration(configuration, "{}".to_owned());
    for number in 0..engines {
        let name = format!("e-{number:02}");
        serving.apply_store_change(START, &change(&name, 1, TargetState::Ready));
    }
    // Discards the news of the setup.
    serving.take_news();
    serving
}

/// The request of a prompt, with the time limits of a short one below 30,000 tokens and of a long one from
/// there.
pub fn prompt_request(prompt_tokens: u64) -> PromptRequest {
    let is_short = prompt_tokens < 30_000;
    PromptRequest {
        service: ServiceName::from("engines"),
        account: AccountId::NONE,
        priority: 0,
        fingerprint: fastrand::u64(..),
        parts: SharedParts::default(),
        prompt_tokens,
        answer_tokens: 600,
        max_answer_tokens: 1_300,
        slack_ms: if is_short { 300 } else { 3_000 },
        pause_limit_ms: if is_short { 250 } else { 1_000 },
        patience_ms: if is_short { 2_000 } else { 12_000 },
        excluded: Vec::new(),
        is_repeat: false,
        is_resumed: false,
    }
}

/// Chooses engines for a prompt and records it as sent to them.
pub fn place(
    serving: &mut Serving,
    now: MonoMs,
    prompt_tokens: u64,
) -> Result<PromptPlacement, Refusal> {
    let request = prompt_request(prompt_tokens);
    let job = serving.admit_prompt(now, &request)?;
    let placement = serving.choose_engines(now, job, GROUP, &request)?;
    serving
        .accept_placement(now, &placement)
        .ok_or(Refusal::NoTarget)
}

/// A placed prompt that one engine reads alone.
pub fn placed(number: u64, engine: &str, prompt_tokens: u64) -> PlacedPrompt {
    PlacedPrompt {
        job: job(number),
        engines: vec![engine.into()],
        prompt_tokens,
        answer_tokens: 600,
        pause_limit_ms: 250,
        slack_ms: 300,
        reserved: None,
        is_prioritized: false,
        first_event_ms: 0,
        account: AccountId::NONE,
        priority: 0,
    }
}

/// A prompt with `slack_ms` until its first event is late, at low utilization of the engines.
pub fn shape(prompt_tokens: u64, slack_ms: f64) -> PromptShape {
    PromptShape {
        prompt_tokens,
        answer_tokens: 600,
        slack_ms,
        pause_limit_ms: 1_000.0,
        patience_ms: 12_000.0,
        reserved: None,
        utilization: 0.3,
        is_blind: false,
        mechanisms: DisabledMechanisms::default(),
    }
}
