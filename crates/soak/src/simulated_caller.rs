//! Simulated callers: they resolve the addresses of instances, reuse connections, send requests, abandon
//! streams and reconnect.

use {
    crate::{
        environment::{Environment, TIMEOUT_MS},
        flag::Flag,
        observations::{InstanceRun, Outcome, RequestKind, RequestRecord},
    },
    std::time::{Duration, Instant},
    whinlatch_platform_standins::{
        CALL_PREFIX, Caller, CallerRequest, SAFE_PREFIX, STREAM_PREFIX,
        names::{LEAVING_HEADER, SEAL_HEADER},
    },
};

/// Longest time for which a caller waits for a connection or for bytes: far over the route's timeout.
const PATIENCE: Duration = Duration::from_millis(3 * TIMEOUT_MS);
/// Time for which a caller caches the list of instances.
const LIST_TTL: Duration = Duration::from_millis(800);
/// Percentage of the callers that keep to their instance until its process is gone, where instances stop in series.
const STAYING_PERCENT: u8 = 50;
/// Upper bound of the think time of a caller between two requests, in ms.
const MAX_THINK_MS: u64 = 60;
/// Percentage of the streams that their caller abandons.
const LEAVE_PERCENT: u8 = 8;
/// Tenths of the prompts that share one path, like those for popular content.
const POPULAR_TENTHS: u8 = 4;
/// Lengths of prompts, in tokens: short, long enough to be read by several engines, larger than the memory of
/// an engine.
const PROMPT_TOKENS: [u64; 4] = [2_000, 5_000, 120_000, 700_000];

/// A caller's connection and the run of the instance that it leads to.
struct Connection {
    caller: Caller,
    instance: usize,
    run: InstanceRun,
    /// Whether it has carried a request before.
    is_reused: bool,
}

/// A simulated caller with one connection at a time.
pub struct SimulatedCaller<'a> {
    environment: &'a Environment,
    rng: fastrand::Rng,
    connection: Option<Connection>,
    list: Vec<usize>,
    listed_at: Option<Instant>,
    /// Whether it keeps to its instance until the process is gone, whatever the list says.
    stays: bool,
    /// Instance to which it connected last; `None` if that failed.
    last_instance: Option<usize>,
}

impl<'a> SimulatedCaller<'a> {
    /// Returns a caller that draws its choices by `seed`.
    pub fn new(environment: &'a Environment, seed: u64) -> Self {
        Self {
            environment,
            rng: fastrand::Rng::with_seed(seed),
            connection: None,
            list: Vec::new(),
            listed_at: None,
            stays: false,
            last_instance: None,
        }
    }

    /// Returns a caller that draws by `seed` too whether it keeps to its instance until the process is gone.
    pub fn new_for_shutdowns(environment: &'a Environment, seed: u64) -> Self {
        let stays = fastrand::Rng::with_seed(!seed).u8(..100) < STAYING_PERCENT;
        Self {
            stays,
            ..Self::new(environment, seed)
        }
    }

    /// Sends one request after the other until `is_over` is set.
    pub fn run(&mut self, is_over: &Flag) {
        loop {
            let think_ms = self.rng.u64(..MAX_THINK_MS);
            if is_over.wait(Duration::from_millis(think_ms)) {
                return;
            }
            self.refresh_list();
            let (kind, request) = self.draw_request();
            if let Some(record) = self.send(kind, &request) {
                self.environment.observations.record_request(record);
            }
        }
    }

    /// Sends a call to one instance and returns whether it is served.
    pub fn is_served_by(&mut self, instance: usize) -> bool {
        self.list = vec![instance];
        self.listed_at = Some(Instant::now());
        let request = CallerRequest::new("GET", format!("{SAFE_PREFIX}0"));
        let record = self.send(RequestKind::Safe, &request);
        let is_served = record
            .as_ref()
            .is_some_and(|record| matches!(record.outcome, Outcome::Answered { status: 200, .. }));
        if let Some(record) = record {
            self.environment.observations.record_request(record);
        }
        is_served
    }

    fn refresh_list(&mut self) {
        if self.listed_at.is_some_and(|at| at.elapsed() < LIST_TTL) && !self.list.is_empty() {
            return;
        }
        let instance = self.rng.usize(..self.environment.instance_count());
        if let Some(list) = self.environment.resolve(instance) {
            self.list = list;
            self.listed_at = Some(Instant::now());
        }
    }

    /// Sends a request and returns its record; `None` if no instance accepts a connection.
    fn send(&mut self, kind: RequestKind, request: &CallerRequest) -> Option<RequestRecord> {
        let mut connection = self.connect()?;
        let on_reused_connection = connection.is_reused;
        let leaves = kind == RequestKind::Stream && self.rng.u8(..100) < LEAVE_PERCENT;
        let sent_at = Instant::now();
        let outcome = exchange(&mut connection.caller, request, leaves);
        let run = connection.run;
        let is_same_run = self.environment.current_run(connection.instance) == run;
        connection.is_reused = true;
        if outcome.keeps_open {
            self.connection = Some(connection);
        }
        Some(RequestRecord {
            id: request.id.clone(),
            kind,
            path: request.path.clone(),
            run: is_same_run.then_some(run),
            accepted_by: run,
            on_reused_connection,
            sent_at,
            ended_at: Instant::now(),
            announces_leaving: outcome.announces_leaving,
            outcome: outcome.seen,
        })
    }

    fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take()
            && (self.stays || self.list.contains(&connection.instance) && self.rng.u8(..10) > 0)
        {
            return Some(connection);
        }
        let instance = match self.last_instance.take() {
            Some(instance) if self.stays => instance,
            _ => *self.list.get(self.rng.usize(..self.list.len().max(1)))?,
        };
        let run = self.environment.current_run(instance);
        let Ok(caller) = Caller::try_connect(self.environment.caller_address(instance), PATIENCE)
        else {
            self.list.retain(|other| *other != instance);
            return None;
        };
        if self.environment.current_run(instance) != run {
            // It is unknown which of the two runs accepted the connection.
            return None;
        }
        self.last_instance = Some(instance);
        Some(Connection {
            caller,
            instance,
            run,
            is_reused: false,
        })
    }

    fn draw_request(&mut self) -> (RequestKind, CallerRequest) {
        match self.rng.u8(..10) {
            0..3 => (
                RequestKind::Safe,
                CallerRequest::new("GET", format!("{SAFE_PREFIX}listing")),
            ),
            3..6 => (
                RequestKind::Unsafe,
                CallerRequest::new("POST", format!("{CALL_PREFIX}label")),
            ),
            6..8 => (RequestKind::Stream, self.draw_prompt()),
            _ => {
                let newest = self.environment.version();
                let version = newest.saturating_sub(self.rng.u64(..2)).max(1);
                let path = format!("{}x", Environment::probe_prefix(version));
                (
                    RequestKind::Probe { version },
                    CallerRequest::new("GET", path),
                )
            }
        }
    }

    /// Draws a path below a prefix: the popular one, or one of many.
    fn draw_path(&mut self, prefix: &str) -> String {
        let number = match self.rng.u8(..10) {
            ..POPULAR_TENTHS => 0,
            _ => self.rng.u32(..),
        };
        format!("{prefix}{number}")
    }

    fn draw_prompt(&mut self) -> CallerRequest {
        let tokens = PROMPT_TOKENS[self.rng.usize(..PROMPT_TOKENS.len())];
        let path = self.draw_path(STREAM_PREFIX);
        CallerRequest::prompt(path, tokens)
    }
}

/// Outcome of a request, and whether its connection can be reused.
struct ExchangeResult {
    seen: Outcome,
    announces_leaving: bool,
    keeps_open: bool,
}

/// Sends a request and reads the response, or leaves after its first bytes.
fn exchange(caller: &mut Caller, request: &CallerRequest, leaves: bool) -> ExchangeResult {
    let failed = |seen| ExchangeResult {
        seen,
        announces_leaving: false,
        keeps_open: false,
    };
    if caller.send(request).is_err() {
        return failed(Outcome::NotSent);
    }
    if leaves {
        // Dropping the caller closes the connection.
        caller.wait_for_first_bytes();
        return failed(Outcome::Left);
    }
    let began = Instant::now();
    let Some(response) = caller.read() else {
        let is_silent = began.elapsed() >= PATIENCE;
        return failed(if is_silent {
            Outcome::Silent
        } else {
            Outcome::Closed
        });
    };
    let keeps_open = response.is_whole
        && response
            .header("Connection")
            .is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    ExchangeResult {
        keeps_open,
        announces_leaving: response.header(LEAVING_HEADER).is_some(),
        seen: Outcome::Answered {
            status: response.status,
            is_sealed: response.header(SEAL_HEADER).is_some(),
            is_whole: response.is_whole,
            retry_after: response.header("Retry-After").map(str::to_owned),
            body: response.body,
        },
    }
}
