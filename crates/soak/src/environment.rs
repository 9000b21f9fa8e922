//! Environment of a run: the store, the targets, the instances and the relays between them.

use {
    crate::{
        finding::Finding,
        instance::Instance,
        observations::{InstanceRun, InstanceStop, Observations, lock},
        options::Options,
        plan::{Disturbance, StoreTrouble, TargetTrouble, Trouble},
        target::{LimitedPeriod, StreamPace, Target, disturb, start_relay},
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

/// Unix time, in ms, after which the restarts of a target are dated, 1 ms apart; its value doesn't matter.
const RUN_START_BASE_MS: u64 = 1_700_000_000_000;
/// Timeout of all routes, in ms: longer than any run of a request that isn't disturbed, and short enough for
/// several requests of each caller in a run.
pub const TIMEOUT_MS: u64 = 4_000;
/// Times after which instances close an idle connection, in ms, in turn by the version of the configuration: the second
/// is within the longest pause between two requests of a caller.
const IDLE_TIMEOUTS_MS: [u64; 2] = [60_000, 40];
/// Tokens that fit into an engine's memory: the largest prompts need the memory of several engines.
const ENGINE_TOKENS: u64 = 400_000;
/// Time from the stop signal to the kill that is written to the settings, in s.
pub const GRACE_S: u64 = 6;
/// Longest wait for the response to a readiness probe or a resolve call.
const QUERY_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// An instance with the relays to it from callers and from it to the store.
#[derive(Debug)]
struct InstanceSlot {
    instance: Mutex<Instance>,
    caller_relay: Relay,
    store_relay: Relay,
}

/// Processes, stand-ins and relays of a run.
#[derive(Debug)]
pub struct Environment {
    /// Requests as observed by callers and targets.
    pub observations: Arc<Observations>,
    store: StoreStandin,
    slots: Vec<InstanceSlot>,
    targets: Vec<Mutex<Target>>,
    limited_periods: Mutex<Vec<LimitedPeriod>>,
    next_target: AtomicU64,
    version: AtomicU64,
    stream_pace: StreamPace,
    /// Whether callers connect without a relay, whose listener stays when a process is gone.
    connects_directly: bool,
}

impl Environment {
    /// Starts the stand-ins, relays and processes; the processes' files are in `folder`.
    ///
    /// # Errors
    /// Loopback has no free port, or a process doesn't start.
    pub fn start(options: &Options, is_planned: bool, folder: &Path) -> io::Result<Self> {
        let observations = Arc::new(Observations::default());
        let store = StoreStandin::start();
        let net = fastrand::u16(..);
        let ips: Vec<IpAddr> = (1..=options.instances)
            .map(|number| instance_ip(net, number))
            .collect();
        let seeds: Vec<SocketAddr> = ips
            .iter()
            .take(3)
            .map(|ip| SettingsFile::peer_address(*ip))
            .collect();
        let mut slots = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            slots.push(InstanceSlot::start(number, *ip, &seeds, &store, folder)?);
        }
        let has_shutdowns = options.shutdowns_per_s > 0.0;
        let environment = Self {
            observations,
            store,
            slots,
            targets: Vec::new(),
            limited_periods: Mutex::default(),
            next_target: AtomicU64::new(0),
            version: AtomicU64::new(0),
            stream_pace: if has_shutdowns {
                StreamPace::SomeSlow
            } else {
                StreamPace::Fast
            },
            connects_directly: is_planned && has_shutdowns,
        };
        environment.publish_configuration();
        environment.with_targets(options.targets)
    }

    fn with_targets(mut self, per_service: usize) -> io::Result<Self> {
        for number in 0..2 * per_service {
            let target = self.start_target(number.is_multiple_of(2))?;
            self.targets.push(Mutex::new(target));
        }
        Ok(self)
    }

    /// Starts and publishes a target with a name of its own.
    fn start_target(&self, is_engine: bool) -> io::Result<Target> {
        let number = self.next_target.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{number}");
        let target = Target::start(id, is_engine, self.stream_pace, &self.observations)?;
        self.publish(&target);
        Ok(target)
    }

    /// Returns the number of instances.
    pub fn instance_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the newest version of the configuration, 1 being the first.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns the path prefix of the route that only this version of the configuration has.
    pub fn probe_prefix(version: u64) -> String {
        format!("/probe-{version}/")
    }

    /// Returns the idle timeout of a version, which changes only where instances stop in series.
    fn idle_timeout_ms(&self, version: u64) -> u64 {
        match self.stream_pace {
            StreamPace::Fast => IDLE_TIMEOUTS_MS[0],
            StreamPace::SomeSlow => IDLE_TIMEOUTS_MS[version as usize % IDLE_TIMEOUTS_MS.len()],
        }
    }

    /// Publishes a new version of the configuration.
    pub fn publish_configuration(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let configuration = Fixture {
            version,
            engine_tokens: ENGINE_TOKENS,
            timeout_ms: TIMEOUT_MS,
            idle_timeout_ms: self.idle_timeout_ms(version),
            extra_routes: vec![(Self::probe_prefix(version), PLAIN)],
            ..Fixture::default()
        };
        configuration.publish(&self.store);
    }

    /// Returns the current run of an instance.
    pub fn current_run(&self, instance: usize) -> InstanceRun {
        lock(&self.slots[instance].instance).run()
    }

    /// Returns the address at which callers reach an instance.
    pub fn caller_address(&self, instance: usize) -> SocketAddr {
        let slot = &self.slots[instance];
        if self.connects_directly {
            lock(&slot.instance).settings.callers()
        } else {
            slot.caller_relay.address()
        }
    }

    /// Returns the stops of all instances' runs by signal.
    pub fn stops(&self) -> Vec<InstanceStop> {
        let slots = self.slots.iter();
        slots
            .flat_map(|slot| lock(&slot.instance).stops().to_vec())
            .collect()
    }

    /// Returns the instances that an instance resolves for callers; `None` if it doesn't respond.
    pub fn resolve(&self, instance: usize) -> Option<Vec<usize>> {
        let directory = lock(&self.slots[instance].instance).settings.directory();
        let path = "/v1/resolve?Name=calls.example&Region=r&Zone=east";
        let body = query(directory, path)?;
        let is_listed = |slot: &InstanceSlot| {
            let address = lock(&slot.instance).settings.callers().to_string();
            body.contains(&format!("\"{address}\""))
        };
        let listed = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| is_listed(slot));
        Some(listed.map(|(number, _)| number).collect())
    }

    /// Returns whether an instance reports that it is ready.
    pub fn is_ready(&self, instance: usize) -> bool {
        let ready = lock(&self.slots[instance].instance).settings.ready();
        query(ready, "/v1/ready").is_some()
    }

    /// Restarts processes that have exited. Returns a finding for each unexpected exit.
    ///
    /// # Errors
    /// Waiting for a process or starting it failed.
    pub fn supervise(&self) -> io::Result<Vec<Finding>> {
        let mut findings = Vec::new();
        for slot in &self.slots {
            findings.extend(lock(&slot.instance).supervise()?);
        }
        Ok(findings)
    }

    /// Returns the bodies of the orders that each target received.
    pub fn orders(&self) -> Vec<Vec<String>> {
        self.targets
            .iter()
            .map(|target| lock(target).orders())
            .collect()
    }

    /// Returns the periods in which targets announced a limit, with the arrivals at them.
    pub fn limited_periods(&self) -> Vec<LimitedPeriod> {
        lock(&self.limited_periods).clone()
    }

    /// Begins a trouble.
    ///
    /// # Errors
    /// A settings file can't be written.
    pub fn begin_trouble(&self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Terminate(number) => self.with_instance(number, Instance::terminate),
            Trouble::Reload(number) => return lock(&self.slots[number].instance).reload(),
            Trouble::Configure => self.publish_configuration(),
            Trouble::Replace(number) => self.publish_leaving(number),
            Trouble::Kill(number) => self.with_instance(number, Instance::kill),
            Trouble::KillAll => {
                (0..self.slots.len()).for_each(|n| self.with_instance(n, Instance::kill));
            }
            Trouble::Pause(number) => self.with_instance(number, Instance::pause),
            Trouble::StoreWay(number, how) => disturb(&self.slots[number].store_relay, Some(how)),
            Trouble::CallerWay(number, how) => disturb(&self.slots[number].caller_relay, Some(how)),
            Trouble::TargetWay(number, how) => {
                disturb(&lock(&self.targets[number]).relay, Some(how));
            }
            Trouble::Store(how) => self.store.set_mode(store_mode(how)),
            Trouble::Compact => self.store.compact(),
            Trouble::Crash(number) => self.crash_target(number),
            Trouble::Moody(number, trouble) => self.set_target_trouble(number, Some(trouble)),
            Trouble::Restart(number) => self.restart_target(number),
            Trouble::Overwrite(number) => self.overwrite_entry(number),
            Trouble::Limit(number, tenths) => {
                lock(&self.targets[number]).begin_limit(f64::from(tenths) / 10.0);
            }
            Trouble::LeaveUnpublished(number) => lock(&self.targets[number]).announce_leaving(),
        }
        Ok(())
    }

    /// Ends a trouble, if it lasts.
    ///
    /// # Errors
    /// Loopback has no free port.
    pub fn end_trouble(&self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Pause(number) => self.with_instance(number, Instance::resume),
            Trouble::StoreWay(number, _) => disturb(&self.slots[number].store_relay, None),
            Trouble::CallerWay(number, _) => disturb(&self.slots[number].caller_relay, None),
            Trouble::TargetWay(number, _) => disturb(&lock(&self.targets[number]).relay, None),
            Trouble::Store(_) => self.store.set_mode(StoreMode::Serving),
            Trouble::Crash(number)
            | Trouble::Replace(number)
            | Trouble::LeaveUnpublished(number) => return self.replace_target(number),
            Trouble::Limit(number, _) => {
                let period = lock(&self.targets[number]).end_limit();
                lock(&self.limited_periods).extend(period);
            }
            Trouble::Moody(number, _) => self.set_target_trouble(number, None),
            Trouble::Overwrite(number) => self.restore_entry(number),
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

    fn with_instance(&self, number: usize, action: impl Fn(&mut Instance)) {
        action(&mut lock(&self.slots[number].instance));
    }

    fn set_target_trouble(&self, number: usize, trouble: Option<TargetTrouble>) {
        lock(&self.targets[number]).set_trouble(trouble);
    }

    fn publish_leaving(&self, number: usize) {
        let mut target = lock(&self.targets[number]);
        if !target.is_down {
            target.is_leaving = true;
            self.publish(&target);
        }
    }

    /// Publishes the current entry of a target.
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

    /// Restarts a target under the same name. Requests on open connections end without a response or a close.
    fn restart_target(&self, number: usize) {
        let mut target = lock(&self.targets[number]);
        if target.is_leaving || target.is_down || target.leaves_unpublished {
            return;
        }
        let previous_ms = target.started_at_ms.unwrap_or(RUN_START_BASE_MS);
        target.started_at_ms = Some(previous_ms + 1);
        disturb(&target.relay, Some(Disturbance::Silence));
        self.publish(&target);
    }

    /// Overwrites a target's entry with a malformed value, as another client of the store may.
    fn overwrite_entry(&self, number: usize) {
        let target = lock(&self.targets[number]);
        if !target.is_leaving && !target.is_down {
            self.store.publish_malformed(&target.id);
        }
    }

    /// Publishes a target's entry again, as a target does when it finds a foreign value in its place.
    fn restore_entry(&self, number: usize) {
        let target = lock(&self.targets[number]);
        if !target.is_leaving && !target.is_down {
            self.publish(&target);
        }
    }

    fn crash_target(&self, number: usize) {
        let mut target = lock(&self.targets[number]);
        target.is_down = true;
        disturb(&target.relay, Some(Disturbance::Cut));
        self.store.remove_target(&target.id);
    }

    /// Replaces a target that is leaving or has crashed by a new one, unless it has been replaced already.
    fn replace_target(&self, number: usize) -> io::Result<()> {
        let mut target = lock(&self.targets[number]);
        if !target.is_leaving && !target.is_down && !target.leaves_unpublished {
            return Ok(());
        }
        let is_engine = target.service != PLAIN;
        self.store.remove_target(&target.id);
        *target = self.start_target(is_engine)?;
        Ok(())
    }
}

impl InstanceSlot {
    fn start(
        number: usize,
        ip: IpAddr,
        seeds: &[SocketAddr],
        store: &StoreStandin,
        folder: &Path,
    ) -> io::Result<Self> {
        let store_relay = start_relay(store.address())?;
        let settings = SettingsFile {
            name: format!("entry-{number}"),
            ip,
            seeds: seeds.to_vec(),
            store: store_relay.address(),
            grace_s: GRACE_S,
        };
        Ok(Self {
            caller_relay: start_relay(settings.callers())?,
            instance: Mutex::new(Instance::start(number, settings, folder)?),
            store_relay,
        })
    }
}

/// Returns the loopback address of an instance. Each instance has one of its own, so that all use the same
/// ports and none takes a port from another program.
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

/// Sends a GET request and returns the body of a response with status 200.
fn query(address: SocketAddr, path: &str) -> Option<String> {
    let mut caller = Caller::try_connect(address, QUERY_TIMEOUT).ok()?;
    caller
        .send_text(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
        .ok()?;
    let response = caller.read()?;
    (response.status == 200).then_some(response.body)
}
