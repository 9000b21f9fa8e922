//! The store, the targets, the instances, and the relays between them.

use {
    crate::{
        finding::Finding,
        instance::Instance,
        ledger::{InstanceRun, Ledger, lock},
        options::Options,
        plan::{Disturbance, Mood, StoreTrouble, Trouble},
        target::{Limited, Target, disturb, relay_to},
    },
    std::{
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
    whinlatch_platform_standins::{Caller, Fixture, PLAIN, SettingsFile, StoreMode, StoreStandin},
    whinlatch_standins::Relay,
};

/// When the first run of a target that starts again began, in Unix ms; any moment will do.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// Time that a request has by its route, in ms: over the longest that a sound run takes, and short
/// enough for several requests a caller in a run.
pub const TIMEOUT_MS: u64 = 4_000;
/// Tokens that fit into an engine, so that the largest prompts need memory at several.
const ENGINE_TOKENS: u64 = 400_000;
/// Time from the signal to stop to the kill, in s.
const GRACE_S: u64 = 6;
/// Most that an instance is waited for when it is asked a question.
const QUESTION: std::time::Duration = std::time::Duration::from_millis(500);

/// An instance and the relays around it.
#[derive(Debug)]
struct Place {
    instance: Mutex<Instance>,
    callers: Relay,
    store: Relay,
}

/// All that a run consists of.
#[derive(Debug)]
pub struct World {
    /// What callers and targets saw.
    pub ledger: Arc<Ledger>,
    store: StoreStandin,
    places: Vec<Place>,
    targets: Vec<Mutex<Target>>,
    limited: Mutex<Vec<Limited>>,
    next_target: AtomicU64,
    version: AtomicU64,
}

impl World {
    /// Starts everything; the processes' files are in `folder`.
    ///
    /// # Errors
    /// Loopback has no free port, or a process doesn't start.
    pub fn start(options: &Options, folder: &Path) -> io::Result<Self> {
        let ledger = Arc::new(Ledger::default());
        let store = StoreStandin::start();
        let net = fastrand::u16(..);
        let ips: Vec<IpAddr> = (1..=options.instances)
            .map(|number| instance_ip(net, number))
            .collect();
        let seeds: Vec<SocketAddr> = ips
            .iter()
            .take(3)
            .map(|ip| SettingsFile::peers_at(*ip))
            .collect();
        let mut places = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            places.push(Place::start(number, *ip, &seeds, &store, folder)?);
        }
        let world = Self {
            ledger,
            store,
            places,
            targets: Vec::new(),
            limited: Mutex::default(),
            next_target: AtomicU64::new(0),
            version: AtomicU64::new(0),
        };
        world.configure();
        world.with_targets(options.targets)
    }

    fn with_targets(mut self, of_each_service: usize) -> io::Result<Self> {
        for number in 0..2 * of_each_service {
            let target = self.new_target(number.is_multiple_of(2))?;
            self.targets.push(Mutex::new(target));
        }
        Ok(self)
    }

    fn new_target(&self, is_engine: bool) -> io::Result<Target> {
        let number = self.next_target.fetch_add(1, Ordering::SeqCst);
        let target = Target::start(format!("i-{number}"), is_engine, &self.ledger)?;
        self.publish(&target);
        Ok(target)
    }

    /// Number of instances.
    pub fn instances(&self) -> usize {
        self.places.len()
    }

    /// The newest version of the configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Path of the route that only one version has.
    pub fn probe_prefix(version: u64) -> String {
        format!("/probe-{version}/")
    }

    /// Publishes a new version of the configuration.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let configuration = Fixture {
            version,
            engine_tokens: ENGINE_TOKENS,
            timeout_ms: TIMEOUT_MS,
            more_routes: vec![(Self::probe_prefix(version), PLAIN)],
            ..Fixture::default()
        };
        configuration.publish(&self.store);
    }

    /// The run of an instance that serves now.
    pub fn run(&self, instance: usize) -> InstanceRun {
        lock(&self.places[instance].instance).run()
    }

    /// Where callers reach an instance.
    pub fn callers(&self, instance: usize) -> SocketAddr {
        self.places[instance].callers.address()
    }

    /// The instances that an instance names to callers; `None` if it doesn't answer.
    pub fn resolve(&self, instance: usize) -> Option<Vec<usize>> {
        let directory = lock(&self.places[instance].instance).settings.directory();
        let path = "/v1/resolve?Name=calls.example&Region=r&Zone=east";
        let body = question(directory, path)?;
        let named = |place: &Place| {
            let address = lock(&place.instance).settings.callers().to_string();
            body.contains(&format!("\"{address}\""))
        };
        let named = self
            .places
            .iter()
            .enumerate()
            .filter(|(_, place)| named(place));
        Some(named.map(|(number, _)| number).collect())
    }

    /// Whether an instance says that it is ready.
    pub fn is_ready(&self, instance: usize) -> bool {
        let ready = lock(&self.places[instance].instance).settings.ready();
        question(ready, "/v1/ready").is_some()
    }

    /// Starts processes again that have ended. Returns what is wrong with their ends.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn supervise(&self) -> io::Result<Vec<Finding>> {
        let mut findings = Vec::new();
        for place in &self.places {
            findings.extend(lock(&place.instance).supervise()?);
        }
        Ok(findings)
    }

    /// Bodies of the orders that each target got.
    pub fn orders(&self) -> Vec<Vec<String>> {
        self.targets
            .iter()
            .map(|target| lock(target).orders())
            .collect()
    }

    /// What targets got while they named a limit.
    pub fn limited(&self) -> Vec<Limited> {
        lock(&self.limited).clone()
    }

    /// Begins a trouble.
    ///
    /// # Errors
    /// A settings file can't be written.
    pub fn begin(&self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Terminate(number) => self.instance(number, Instance::terminate),
            Trouble::Reload(number) => return lock(&self.places[number].instance).reload(),
            Trouble::Configure => self.configure(),
            Trouble::Replace(number) => self.announce_leaving(number),
            Trouble::Kill(number) => self.instance(number, Instance::kill),
            Trouble::KillAll => {
                (0..self.places.len()).for_each(|n| self.instance(n, Instance::kill));
            }
            Trouble::Pause(number) => self.instance(number, Instance::pause),
            Trouble::StoreWay(number, how) => disturb(&self.places[number].store, Some(how)),
            Trouble::CallerWay(number, how) => disturb(&self.places[number].callers, Some(how)),
            Trouble::TargetWay(number, how) => {
                disturb(&lock(&self.targets[number]).relay, Some(how));
            }
            Trouble::Store(how) => self.store.set_mode(store_mode(how)),
            Trouble::Compact => self.store.compact(),
            Trouble::Crash(number) => self.crash(number),
            Trouble::Moody(number, mood) => self.set_mood(number, Some(mood)),
            Trouble::Restart(number) => self.restart(number),
            Trouble::Overwrite(number) => self.overwrite(number),
            Trouble::Limit(number, tenths) => {
                lock(&self.targets[number]).limit(f64::from(tenths) / 10.0);
            }
            Trouble::LeaveUnpublished(number) => lock(&self.targets[number]).leave(),
        }
        Ok(())
    }

    /// Ends a trouble.
    ///
    /// # Errors
    /// Loopback has no free port.
    pub fn end(&self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Pause(number) => self.instance(number, Instance::resume),
            Trouble::StoreWay(number, _) => disturb(&self.places[number].store, None),
            Trouble::CallerWay(number, _) => disturb(&self.places[number].callers, None),
            Trouble::TargetWay(number, _) => disturb(&lock(&self.targets[number]).relay, None),
            Trouble::Store(_) => self.store.set_mode(StoreMode::Serving),
            Trouble::Crash(number)
            | Trouble::Replace(number)
            | Trouble::LeaveUnpublished(number) => return self.come_back(number),
            Trouble::Limit(number, _) => {
                let limited = lock(&self.targets[number]).unlimit();
                lock(&self.limited).extend(limited);
            }
            Trouble::Moody(number, _) => self.set_mood(number, None),
            Trouble::Overwrite(number) => self.write_again(number),
            Trouble::Restart(_)
            | Trouble::Terminate(_)
            | Trouble::Reload(_)
            | Trouble::Configure
            | Trouble::Kill(_)
            | Trouble::KillAll
            | Trouble::Compact => {}
        }
        Ok(())
    }

    fn instance(&self, number: usize, act: impl Fn(&mut Instance)) {
        act(&mut lock(&self.places[number].instance));
    }

    fn set_mood(&self, number: usize, mood: Option<Mood>) {
        lock(&self.targets[number]).set_mood(mood);
    }

    fn announce_leaving(&self, number: usize) {
        let mut target = lock(&self.targets[number]);
        if !target.is_down {
            target.is_leaving = true;
            self.publish(&target);
        }
    }

    /// Publishes what a target says of itself now.
    fn publish(&self, target: &Target) {
        let state = if target.is_leaving {
            "draining"
        } else {
            "ready"
        };
        let (address, started_at_ms) = (target.address(), target.started_at_ms);
        self.store
            .publish_run(&target.id, target.service, address, state, started_at_ms);
    }

    /// A target starts again under its name. What it runs on open connections ends unheard of.
    fn restart(&self, number: usize) {
        let mut target = lock(&self.targets[number]);
        if target.is_leaving || target.is_down || target.leaves_unpublished {
            return;
        }
        let former_ms = target.started_at_ms.unwrap_or(FIRST_START_MS);
        target.started_at_ms = Some(former_ms + 1);
        disturb(&target.relay, Some(Disturbance::Silence));
        self.publish(&target);
    }

    /// Somebody else writes where a target's entry is.
    fn overwrite(&self, number: usize) {
        let target = lock(&self.targets[number]);
        if !target.is_leaving && !target.is_down {
            self.store.publish_foreign(&target.id);
        }
    }

    /// A target writes its entry again, as it does when it finds another one there.
    fn write_again(&self, number: usize) {
        let target = lock(&self.targets[number]);
        if !target.is_leaving && !target.is_down {
            self.publish(&target);
        }
    }

    fn crash(&self, number: usize) {
        let mut target = lock(&self.targets[number]);
        target.is_down = true;
        disturb(&target.relay, Some(Disturbance::Cut));
        self.store.remove_target(&target.id);
    }

    /// Another run takes the place of a target that leaves or has crashed, unless one has already.
    fn come_back(&self, number: usize) -> io::Result<()> {
        let mut target = lock(&self.targets[number]);
        if !target.is_leaving && !target.is_down && !target.leaves_unpublished {
            return Ok(());
        }
        let is_engine = target.service != PLAIN;
        self.store.remove_target(&target.id);
        *target = self.new_target(is_engine)?;
        Ok(())
    }
}

impl Place {
    fn start(
        number: usize,
        ip: IpAddr,
        seeds: &[SocketAddr],
        store: &StoreStandin,
        folder: &Path,
    ) -> io::Result<Self> {
        let store = relay_to(store.address())?;
        let settings = SettingsFile {
            name: format!("entry-{number}"),
            ip,
            seeds: seeds.to_vec(),
            store: store.address(),
            grace_s: GRACE_S,
        };
        Ok(Self {
            callers: relay_to(settings.callers())?,
            instance: Mutex::new(Instance::start(number, settings, folder)?),
            store,
        })
    }
}

/// An address of loopback of an instance's own, so that all instances have the same ports and no
/// port is taken from another program's.
fn instance_ip(net: u16, number: usize) -> IpAddr {
    let [high, low] = net.to_be_bytes();
    Ipv4Addr::new(127, high, low, number as u8).into()
}

fn store_mode(trouble: StoreTrouble) -> StoreMode {
    match trouble {
        StoreTrouble::Busy => StoreMode::Busy,
        StoreTrouble::Throttled => StoreMode::Throttled,
        StoreTrouble::Closing => StoreMode::Closing,
    }
}

fn question(address: SocketAddr, path: &str) -> Option<String> {
    let mut caller = Caller::try_connect(address, QUESTION).ok()?;
    caller
        .send_text(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
        .ok()?;
    let answer = caller.read()?;
    (answer.status == 200).then_some(answer.body)
}
