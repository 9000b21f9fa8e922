//! Stand-ins of targets, each behind a relay, and how they behave towards requests.

use {
    crate::{
        observations::{Observations, Run, lock},
        plan::{Disturbance, TargetTrouble},
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

/// Percentage of its requests that a target with a trouble handles wrongly.
const AFFECTED_PERCENT: u64 = 60;
/// Smallest number of events of a stream.
const MIN_EVENTS: u64 = 3;
/// Number of different lengths of streams, from [`MIN_EVENTS`] on.
const STREAM_LENGTHS: u64 = 17;
/// Body of the first response of a target that sends two.
pub const DOUBLED_BODY: &str = "the first of two";
/// Time for which a pausing target asks to get no requests, in s.
const PAUSE_S: &str = "0.8";
/// Time from a target's first announcement of a limit until its requests are counted: the time that the
/// operators grant, and half a second for responses in flight.
const LIMIT_GRACE: Duration = Duration::from_millis(3_500);
/// Time between two events of a stream, in ms.
const EVENT_PAUSE_MS: u64 = 15;
/// Time between two events of a slow stream, in ms.
const SLOW_EVENT_PAUSE_MS: u64 = 100;
/// Time from the request to the first event of a slow stream, in ms. With a silence of its target it is longer than the
/// wait for a first event.
const SLOW_BEGIN_MS: u64 = 700;
/// One in this many streams is slow where some are.
const SLOW_STREAM_INTERVAL: u64 = 3;

/// Time that targets take for a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamPace {
    /// A fraction of a second for all.
    Fast,
    /// Up to two and a half seconds for some, which depends on the request's id alone.
    SomeSlow,
}

impl StreamPace {
    /// Returns the answer to a prompt.
    fn stream(self, request_id: &str) -> EchoStream {
        let is_slow = hash(&format!("pace {request_id}")).is_multiple_of(SLOW_STREAM_INTERVAL);
        let (begins_after_ms, pause_ms) = match self {
            Self::SomeSlow if is_slow => (SLOW_BEGIN_MS, SLOW_EVENT_PAUSE_MS),
            Self::SomeSlow | Self::Fast => (0, EVENT_PAUSE_MS),
        };
        EchoStream {
            last: event_count(request_id),
            begins_after_ms,
            pause_ms,
            breaks_after: None,
        }
    }

    /// Returns the time for which a target is at work on the answer to a prompt, undisturbed.
    pub fn stream_duration(self, request_id: &str) -> Duration {
        let stream = self.stream(request_id);
        Duration::from_millis(stream.begins_after_ms + stream.last * stream.pause_ms)
    }
}

/// Returns the number of events of the answer to a prompt, which depends on the request's id alone.
pub fn event_count(request_id: &str) -> u64 {
    MIN_EVENTS + hash(request_id) % STREAM_LENGTHS
}

/// Disturbs the connections of a relay; `None` lets bytes pass again.
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
pub fn start_relay(to: SocketAddr) -> io::Result<Relay> {
    task::block_on(Relay::start(RelayOptions {
        to,
        ..RelayOptions::default()
    }))
}

/// Requests to a target while it announced a limit.
#[derive(Debug, Clone)]
pub struct LimitedPeriod {
    /// Announced limit, in requests per second.
    pub per_s: f64,
    /// Arrivals of requests, orders and reads of the report, in order, from `LIMIT_GRACE` after the announcement
    /// to the end of the limit.
    pub arrived_at: Vec<Instant>,
}

/// Stand-in of a target and the relay through which instances reach it.
#[derive(Debug)]
pub struct Target {
    /// Relay whose address is published as the target's.
    pub relay: Relay,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Name under which it is published.
    pub id: String,
    /// Unix time at which its current run started, in ms; `None` until its first restart.
    pub started_at_ms: Option<u64>,
    /// Whether it has published that it is leaving.
    pub is_leaving: bool,
    /// Whether it announces only in its responses that it is leaving.
    pub leaves_unpublished: bool,
    /// Whether it has crashed.
    pub is_down: bool,
    /// Announced limit per second, and since when.
    limit: Option<(f64, Instant)>,
    trouble: Arc<Mutex<Option<TargetTrouble>>>,
    standin: TargetStandin,
}

impl Target {
    /// Starts a target that serves all requests.
    ///
    /// # Errors
    /// Loopback has no free port.
    pub fn start(
        id: String,
        is_engine: bool,
        stream_pace: StreamPace,
        observations: &Arc<Observations>,
    ) -> io::Result<Self> {
        let trouble = Arc::new(Mutex::new(None));
        let standin = TargetStandin::start_choosing(&id, {
            let (trouble, observations, id) =
                (Arc::clone(&trouble), Arc::clone(observations), id.clone());
            let engine_pace = is_engine.then_some(stream_pace);
            move |request| {
                choose_behaviour(request, &id, engine_pace, *lock(&trouble), &observations)
            }
        });
        Ok(Self {
            relay: start_relay(standin.address())?,
            service: if is_engine { ENGINES } else { PLAIN },
            id,
            started_at_ms: None,
            is_leaving: false,
            leaves_unpublished: false,
            limit: None,
            is_down: false,
            trouble,
            standin,
        })
    }

    /// Returns the address of its relay.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Sets its misbehaviour; `None` ends it.
    pub fn set_trouble(&self, trouble: Option<TargetTrouble>) {
        *lock(&self.trouble) = trouble;
    }

    /// Announces a limit, unless one is announced already.
    pub fn begin_limit(&mut self, per_s: f64) {
        if self.limit.is_none() {
            self.limit = Some((per_s, Instant::now()));
            self.standin.set_limit(Some(per_s));
        }
    }

    /// Ends the limit. Returns the arrivals during it; `None` if no limit was announced.
    pub fn end_limit(&mut self) -> Option<LimitedPeriod> {
        let (per_s, since) = self.limit.take()?;
        self.standin.set_limit(None);
        let mut arrived_at = self.standin.arrived_at();
        arrived_at.retain(|at| *at >= since + LIMIT_GRACE);
        Some(LimitedPeriod { per_s, arrived_at })
    }

    /// Announces in all further responses that it is leaving.
    pub fn announce_leaving(&mut self) {
        self.leaves_unpublished = true;
        self.standin.announce_leaving();
    }

    /// Returns the bodies of the orders that it received.
    pub fn orders(&self) -> Vec<String> {
        self.standin.orders()
    }
}

/// Records an executed request, and returns the behaviour towards it. Only engines have a pace.
fn choose_behaviour(
    request: &Request,
    target: &str,
    engine_pace: Option<StreamPace>,
    trouble: Option<TargetTrouble>,
    observations: &Observations,
) -> Behaviour {
    let id = request.header(REQUEST_ID_HEADER).unwrap_or_default();
    let is_affected = hash(&format!("{id} {target}")) % 100 < AFFECTED_PERCENT;
    let trouble = trouble.filter(|_| is_affected);
    if trouble == Some(TargetTrouble::Shedding) {
        return Behaviour::Shed;
    }
    if trouble == Some(TargetTrouble::Pausing) {
        return Behaviour::ShedAndPause(PAUSE_S);
    }
    let account = request.header(ACCOUNT_HEADER).unwrap_or_default();
    observations.record_run(
        id,
        Run {
            target: target.to_owned(),
            path: request.target.clone(),
            account: account.to_owned(),
            has_key: request.header("Authorization").is_some(),
            at: Instant::now(),
        },
    );
    let is_engine = engine_pace.is_some();
    let last = event_count(id);
    let stream = |breaks_after| {
        Behaviour::EchoStream(EchoStream {
            breaks_after,
            ..engine_pace.unwrap_or(StreamPace::Fast).stream(id)
        })
    };
    match trouble {
        Some(TargetTrouble::Losing) => Behaviour::DropResponse,
        Some(TargetTrouble::Hanging) => Behaviour::Hang,
        Some(TargetTrouble::Unsealed) => Behaviour::Unsealed,
        Some(TargetTrouble::Breaking) if is_engine => stream(Some(hash(id) % last)),
        Some(TargetTrouble::Breaking) => Behaviour::Short("half"),
        Some(TargetTrouble::Doubling) if !is_engine => Behaviour::RespondTwice(DOUBLED_BODY),
        Some(TargetTrouble::Doubling | TargetTrouble::Shedding | TargetTrouble::Pausing) | None
            if is_engine =>
        {
            stream(None)
        }
        Some(TargetTrouble::Doubling | TargetTrouble::Shedding | TargetTrouble::Pausing) | None => {
            Behaviour::Echo
        }
    }
}

/// Hashes a text. The value is the same in each process, so that a seed has the same effect again.
fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
