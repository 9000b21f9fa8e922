//! Callers: they ask which instances to use, keep connections, ask, leave and come again.

use {
    crate::{
        flag::Flag,
        ledger::{Asked, InstanceRun, Kind, Outcome},
        world::{TIMEOUT_MS, World},
    },
    std::time::{Duration, Instant},
    whinlatch_platform_standins::{
        Ask, CALL_PREFIX, Caller, SAFE_PREFIX, STREAM_PREFIX,
        names::{LEAVING_HEADER, SEAL_HEADER},
    },
};

/// Most that a caller waits for anything: well over the time that a request has.
const PATIENCE: Duration = Duration::from_millis(3 * TIMEOUT_MS);
/// Time for which a caller keeps the list of instances.
const LIST_LIFE: Duration = Duration::from_millis(800);
/// Longest time between two requests of a caller, in ms.
const THINK_MS: u64 = 60;
/// Share of the streams that their caller leaves, in hundredths.
const LEAVE_PERCENT: u8 = 8;
/// Tenths of the requests that are all alike, as those for something popular.
const POPULAR_TENTHS: u8 = 4;
/// Lengths of prompts, in tokens: short, read by several engines, larger than an engine's memory.
const PROMPT_TOKENS: [u64; 4] = [2_000, 5_000, 120_000, 700_000];

/// A caller's connection and where it leads.
struct Connection {
    caller: Caller,
    instance: usize,
    run: InstanceRun,
    has_carried: bool,
}

/// One caller.
pub struct Load<'a> {
    world: &'a World,
    rng: fastrand::Rng,
    connection: Option<Connection>,
    list: Vec<usize>,
    listed_at: Option<Instant>,
}

impl<'a> Load<'a> {
    /// A caller whose choices follow from a seed.
    pub fn new(world: &'a World, seed: u64) -> Self {
        Self {
            world,
            rng: fastrand::Rng::with_seed(seed),
            connection: None,
            list: Vec::new(),
            listed_at: None,
        }
    }

    /// Asks one request after the other until told to stop.
    pub fn run(&mut self, is_over: &Flag) {
        loop {
            let think_ms = self.rng.u64(..THINK_MS);
            if is_over.wait(Duration::from_millis(think_ms)) {
                return;
            }
            self.refresh_list();
            let (kind, ask) = self.draw_request();
            if let Some(asked) = self.ask(kind, &ask) {
                self.world.ledger.note_asked(asked);
            }
        }
    }

    /// Whether a call to one instance is served.
    pub fn is_served_by(&mut self, instance: usize) -> bool {
        self.list = vec![instance];
        self.listed_at = Some(Instant::now());
        let ask = Ask::new("GET", format!("{SAFE_PREFIX}0"));
        let asked = self.ask(Kind::Safe, &ask);
        let is_served = asked
            .as_ref()
            .is_some_and(|asked| matches!(asked.outcome, Outcome::Answered { status: 200, .. }));
        if let Some(asked) = asked {
            self.world.ledger.note_asked(asked);
        }
        is_served
    }

    fn refresh_list(&mut self) {
        if self.listed_at.is_some_and(|at| at.elapsed() < LIST_LIFE) && !self.list.is_empty() {
            return;
        }
        let asked = self.rng.usize(..self.world.instances());
        if let Some(list) = self.world.resolve(asked) {
            self.list = list;
            self.listed_at = Some(Instant::now());
        }
    }

    /// One request; `None` if there is nobody to ask.
    fn ask(&mut self, kind: Kind, ask: &Ask) -> Option<Asked> {
        let mut connection = self.connect()?;
        let was_kept = connection.has_carried;
        let leaves = kind == Kind::Stream && self.rng.u8(..100) < LEAVE_PERCENT;
        let sent_at = Instant::now();
        let outcome = exchange(&mut connection.caller, ask, leaves);
        let run = connection.run;
        let is_same_run = self.world.run(connection.instance) == run;
        connection.has_carried = true;
        if outcome.keeps_open {
            self.connection = Some(connection);
        }
        Some(Asked {
            id: ask.id.clone(),
            kind,
            path: ask.path.clone(),
            run: is_same_run.then_some(run),
            was_kept,
            sent_at,
            ended_at: Instant::now(),
            names_leaving: outcome.names_leaving,
            outcome: outcome.seen,
        })
    }

    fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take()
            && self.list.contains(&connection.instance)
            && self.rng.u8(..10) > 0
        {
            return Some(connection);
        }
        let instance = *self.list.get(self.rng.usize(..self.list.len().max(1)))?;
        let run = self.world.run(instance);
        let Ok(caller) = Caller::try_connect(self.world.callers(instance), PATIENCE) else {
            self.list.retain(|other| *other != instance);
            return None;
        };
        Some(Connection {
            caller,
            instance,
            run,
            has_carried: false,
        })
    }

    fn draw_request(&mut self) -> (Kind, Ask) {
        match self.rng.u8(..10) {
            0..3 => (Kind::Safe, Ask::new("GET", format!("{SAFE_PREFIX}listing"))),
            3..6 => (
                Kind::Unsafe,
                Ask::new("POST", format!("{CALL_PREFIX}label")),
            ),
            6..8 => (Kind::Stream, self.draw_prompt()),
            _ => {
                let newest = self.world.version();
                let version = newest.saturating_sub(self.rng.u64(..2)).max(1);
                let path = format!("{}x", World::probe_prefix(version));
                (Kind::Probe { version }, Ask::new("GET", path))
            }
        }
    }

    /// A path below a prefix: a popular one, or one of many.
    fn draw_path(&mut self, prefix: &str) -> String {
        let number = match self.rng.u8(..10) {
            ..POPULAR_TENTHS => 0,
            _ => self.rng.u32(..),
        };
        format!("{prefix}{number}")
    }

    fn draw_prompt(&mut self) -> Ask {
        let tokens = PROMPT_TOKENS[self.rng.usize(..PROMPT_TOKENS.len())];
        let path = self.draw_path(STREAM_PREFIX);
        Ask::prompt(path, tokens)
    }
}

struct Exchanged {
    seen: Outcome,
    names_leaving: bool,
    keeps_open: bool,
}

fn exchange(caller: &mut Caller, ask: &Ask, leaves: bool) -> Exchanged {
    let over = |seen| Exchanged {
        seen,
        names_leaving: false,
        keeps_open: false,
    };
    if caller.send(ask).is_err() {
        return over(Outcome::NotSent);
    }
    if leaves {
        // The connection ends with the caller, which is dropped.
        caller.read_some();
        return over(Outcome::Left);
    }
    let began = Instant::now();
    let Some(answer) = caller.read() else {
        let is_silent = began.elapsed() >= PATIENCE;
        return over(if is_silent {
            Outcome::Silent
        } else {
            Outcome::Closed
        });
    };
    let keeps_open = answer.is_whole
        && answer
            .header("Connection")
            .is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    Exchanged {
        keeps_open,
        names_leaving: answer.header(LEAVING_HEADER).is_some(),
        seen: Outcome::Answered {
            status: answer.status,
            is_sealed: answer.header(SEAL_HEADER).is_some(),
            is_whole: answer.is_whole,
            body: answer.body,
        },
    }
}
