//! Targets, each behind a relay: what they do to requests, and how they crash and come back.

use {
    crate::{
        ledger::{Ledger, Run, lock},
        plan::{Disturbance, Mood},
    },
    async_std::task,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    whinlatch_platform_standins::{
        Behaviour, ENGINES, EchoStream, PLAIN, Request, TargetStandin,
        names::{ACCOUNT_HEADER, REQUEST_ID_HEADER},
    },
    whinlatch_standins::{Relay, RelayOptions, relay::RelayMode},
    xxhash_rust::xxh3::xxh3_64,
};

/// Share of its requests to which a moody target does something wrong, in hundredths.
const MOODY_PERCENT: u64 = 60;
/// Events of a stream: at least, and how many more some have.
const EVENTS: (u64, u64) = (3, 17);
/// Body of the answer of a target that answers twice.
pub const DOUBLED_BODY: &str = "the first of two";
/// Time for which a target wants nothing, in s.
const PAUSE_S: &str = "0.8";
/// Time from a target's first word of a limit until it is held against instances: that which the operators give
/// them, and half a second for the answers on their way.
const LIMIT_GRACE: Duration = Duration::from_millis(3_500);
/// Time between two events, in ms.
const EVENT_PAUSE_MS: u64 = 15;

/// Number of events that a prompt's answer has, which follows from its request's id.
pub fn events_of(request_id: &str) -> u64 {
    EVENTS.0 + hash(request_id) % EVENTS.1
}

/// Sets what happens to the connections of a relay; `None` heals it.
pub fn disturb(relay: &Relay, disturbance: Option<Disturbance>) {
    let mode = match disturbance {
        None => RelayMode::Pass,
        Some(Disturbance::Cut) => RelayMode::Cut,
        Some(Disturbance::Reset) => RelayMode::Reset,
        Some(Disturbance::Hold) => RelayMode::Hold,
        Some(Disturbance::HoldBack) => RelayMode::HoldBack,
        Some(Disturbance::Slow) => RelayMode::Slow,
        Some(Disturbance::Silence) => return relay.silence_open(),
    };
    relay.set_mode(mode);
}

/// Starts a relay to an address.
///
/// # Errors
/// Loopback has no free port.
pub fn relay_to(to: SocketAddr) -> io::Result<Relay> {
    task::block_on(Relay::start(RelayOptions {
        to,
        ..RelayOptions::default()
    }))
}

/// What a target got while it named a limit.
#[derive(Debug, Clone)]
pub struct Limited {
    /// Requests a second that it takes.
    pub per_s: f64,
    /// When requests, orders and questions arrived, in order.
    pub arrived_at: Vec<Instant>,
}

/// A target and the relay through which instances reach it.
#[derive(Debug)]
pub struct Target {
    /// The relay.
    pub relay: Relay,
    /// The service that it belongs to.
    pub service: &'static str,
    /// Name of its present run.
    pub id: String,
    /// When its present run began, in Unix ms, where it says so.
    pub started_at_ms: Option<u64>,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
    /// Whether it says in its answers that it leaves, which isn't published.
    pub leaves_unpublished: bool,
    /// Whether it has crashed.
    pub is_down: bool,
    limited: Option<(f64, Instant)>,
    mood: Arc<Mutex<Option<Mood>>>,
    standin: TargetStandin,
}

impl Target {
    /// A target that serves.
    ///
    /// # Errors
    /// Loopback has no free port.
    pub fn start(id: String, is_engine: bool, ledger: &Arc<Ledger>) -> io::Result<Self> {
        let mood = Arc::new(Mutex::new(None));
        let standin = TargetStandin::start_choosing(&id, {
            let (mood, ledger, id) = (Arc::clone(&mood), Arc::clone(ledger), id.clone());
            move |request| choose(request, &id, is_engine, *lock(&mood), &ledger)
        });
        Ok(Self {
            relay: relay_to(standin.address())?,
            service: if is_engine { ENGINES } else { PLAIN },
            id,
            started_at_ms: None,
            is_leaving: false,
            leaves_unpublished: false,
            limited: None,
            is_down: false,
            mood,
            standin,
        })
    }

    /// Where instances reach it.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Sets what it does wrong.
    pub fn set_mood(&self, mood: Option<Mood>) {
        *lock(&self.mood) = mood;
    }

    /// Has it name a limit, unless it does.
    pub fn limit(&mut self, per_s: f64) {
        if self.limited.is_none() {
            self.limited = Some((per_s, Instant::now()));
            self.standin.set_limit(Some(per_s));
        }
    }

    /// Ends its limit. Returns what it got meanwhile.
    pub fn unlimit(&mut self) -> Option<Limited> {
        let (per_s, since) = self.limited.take()?;
        self.standin.set_limit(None);
        let mut arrived_at = self.standin.arrived_at();
        arrived_at.retain(|at| *at >= since + LIMIT_GRACE);
        Some(Limited { per_s, arrived_at })
    }

    /// Has it say in its answers that it leaves.
    pub fn leave(&mut self) {
        self.leaves_unpublished = true;
        self.standin.leave();
    }

    /// Bodies of the orders that it got.
    pub fn orders(&self) -> Vec<String> {
        self.standin.orders()
    }
}

fn choose(
    request: &Request,
    target: &str,
    is_engine: bool,
    mood: Option<Mood>,
    ledger: &Ledger,
) -> Behaviour {
    let id = request.header(REQUEST_ID_HEADER).unwrap_or_default();
    let is_struck = hash(&format!("{id} {target}")) % 100 < MOODY_PERCENT;
    let mood = mood.filter(|_| is_struck);
    if mood == Some(Mood::Shedding) {
        return Behaviour::Shed;
    }
    if mood == Some(Mood::Pausing) {
        return Behaviour::Pause(PAUSE_S);
    }
    let account = request.header(ACCOUNT_HEADER).unwrap_or_default();
    ledger.note_run(
        id,
        Run {
            target: target.to_owned(),
            path: request.target.clone(),
            account: account.to_owned(),
            has_key: request.header("Authorization").is_some(),
            at: Instant::now(),
        },
    );
    let last = events_of(id);
    let stream = |breaks_after| {
        Behaviour::EchoStream(EchoStream {
            last,
            pause_ms: EVENT_PAUSE_MS,
            breaks_after,
        })
    };
    match mood {
        Some(Mood::Losing) => Behaviour::LoseAnswer,
        Some(Mood::Hanging) => Behaviour::Hang,
        Some(Mood::Unsealed) => Behaviour::Unsealed,
        Some(Mood::Breaking) if is_engine => stream(Some(hash(id) % last)),
        Some(Mood::Breaking) => Behaviour::Short("half"),
        Some(Mood::Doubling) if !is_engine => Behaviour::AnswerTwice(DOUBLED_BODY),
        Some(Mood::Doubling | Mood::Shedding | Mood::Pausing) | None if is_engine => stream(None),
        Some(Mood::Doubling | Mood::Shedding | Mood::Pausing) | None => Behaviour::Echo,
    }
}

/// A hash that is the same in each run.
fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
