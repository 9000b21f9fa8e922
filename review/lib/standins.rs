//! Stand-ins of the platform's store, of workers and of clients, and the daemon as a separate process.
//! Standard library only. Everything listens on loopback addresses.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "calls.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
/// Port that the deploy file gives to the daemon's own metrics.
const METRICS_PORT: u16 = 9464;

/// Lines for `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:8.3} {text}");
    }
}

/// Whether the disruption is played.
pub fn is_troubled() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// All processes that were started.
static PROCESSES: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and the program.
pub fn finish(code: i32) -> ! {
    for process in PROCESSES.lock().unwrap().iter() {
        let mut process = process.lock().unwrap();
        let _killed = process.kill();
        let _ended = process.wait();
    }
    std::process::exit(code);
}

/// Ends the program with 2: the case couldn't run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    finish(2);
}

/// Ends the program with 2 if it takes too long.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        give_up("the case takes too long");
    });
}

// ---------------------------------------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).unwrap_or("0");
        status.parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let pair = (name.trim().to_owned(), value.trim().to_owned());
            head.headers.push(pair);
        }
    }
}

/// Reads the body that follows a head; an error if it isn't complete. What has arrived is in `body`.
pub fn read_body(input: &mut impl BufRead, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            read_exactly(input, length, body)?;
            let mut end = String::new();
            input.read_line(&mut end)?;
            if length == 0 {
                return Ok(());
            }
        }
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    read_exactly(input, length.unwrap_or(0), body)
}

fn read_exactly(input: &mut impl BufRead, mut left: usize, out: &mut Vec<u8>) -> io::Result<()> {
    while left > 0 {
        let available = input.fill_buf()?;
        if available.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let count = available.len().min(left);
        out.extend_from_slice(&available[..count]);
        input.consume(count);
        left -= count;
    }
    Ok(())
}

// --------------------------------------------------------------------------------------------- store

#[derive(Default)]
struct Content {
    revision: u64,
    /// Value (`None` if deleted) and revision by key.
    items: BTreeMap<String, (Option<String>, u64)>,
}

/// The platform's store: `kv-range` and `kv-watch`.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().unwrap(),
            content: Arc::default(),
        };
        store.content.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value, or deletes the key. Returns the revision.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let mut content = self.content.0.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let item = (value.map(str::to_owned), revision);
        content.items.insert(key.to_owned(), item);
        self.content.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut input = BufReader::new(stream.try_clone().ok()?);
        let mut output = stream;
        while let Some(head) = read_head(&mut input).ok()? {
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let mut values = pairs.filter(|(key, _)| *key == name);
                values.next().map(|(_, value)| value.to_owned())
            };
            let prefix = parameter("Prefix").unwrap_or_default();
            let body = if path == "/v1/kv-watch" {
                let after = parameter("After")?.parse().ok()?;
                let wait_ms = parameter("WaitMs")?.parse().ok()?;
                self.watch(&prefix, after, wait_ms)
            } else {
                self.range(&prefix, &parameter("After").unwrap_or_default())
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            output.write_all(answer.as_bytes()).ok()?;
        }
        Some(())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let content = self.content.0.lock().unwrap();
        let items: Vec<String> = content
            .items
            .iter()
            .filter(|(key, (value, _))| {
                key.starts_with(prefix) && key.as_str() > after && value.is_some()
            })
            .map(|(key, (value, revision))| item_json(key, value.as_deref(), *revision))
            .collect();
        let (items, revision) = (items.join(","), content.revision);
        format!("{{\"Items\":[{items}],\"HasMore\":false,\"StoreRevision\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.0.lock().unwrap();
        loop {
            let mut events: Vec<(u64, String)> = content
                .items
                .iter()
                .filter(|(key, (_, revision))| key.starts_with(prefix) && *revision > after)
                .map(|(key, (value, revision))| {
                    (*revision, item_json(key, value.as_deref(), *revision))
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort_by_key(|(revision, _)| *revision);
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                let (events, revision) = (events.join(","), content.revision);
                return format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"CreateRev\":{revision},\"Lease\":0}}"
            )
        }
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The entry that a worker writes about itself.
pub fn entry_json(service: &str, address: SocketAddr, state: &str, seq: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"sala-norte\",\"Version\":\"v1\",\
         \"Slots\":16,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":{seq}}}"
    )
}

// -------------------------------------------------------------------------------------------- daemon

/// A daemon, started with the command of the deploy file. Killed when dropped.
pub struct Daemon {
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    child: Arc<Mutex<Child>>,
}

/// Addresses of a daemon that isn't started yet.
#[derive(Clone, Copy)]
pub struct DaemonPlace {
    ip: Ipv4Addr,
    ports: [u16; 5],
}

impl DaemonPlace {
    /// Finds a loopback address on which the metrics port of the deploy file is free, and other free ports.
    pub fn find(number: u8) -> Self {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos();
        for attempt in 0..200_u32 {
            let draw = seed.wrapping_add(attempt * 7919);
            let ip = Ipv4Addr::new(
                127,
                60 + number,
                (draw >> 8 & 127) as u8 + 1,
                (draw & 127) as u8 + 1,
            );
            if TcpListener::bind((ip, METRICS_PORT)).is_err() {
                continue;
            }
            let listeners: Vec<TcpListener> = (0..5)
                .filter_map(|_| TcpListener::bind((ip, 0)).ok())
                .collect();
            let ports: Vec<u16> = listeners
                .iter()
                .map(|listener| listener.local_addr().unwrap().port())
                .collect();
            if let Ok(ports) = ports.try_into() {
                return Self { ip, ports };
            }
        }
        give_up("no free loopback address");
    }

    /// Returns the address at which clients ask for addresses.
    pub fn directory(&self) -> SocketAddr {
        self.address(3)
    }

    fn address(&self, index: usize) -> SocketAddr {
        (self.ip, self.ports[index]).into()
    }
}

/// Folder for files of this run.
pub fn scratch() -> PathBuf {
    let folder = env::var_os("SCRATCH").map_or_else(env::temp_dir, PathBuf::from);
    fs::create_dir_all(&folder).expect("the temporary folder can be created");
    folder
}

impl Daemon {
    /// Starts a daemon. `seeds` are the places of all daemons.
    pub fn start(name: &str, place: DaemonPlace, seeds: &[DaemonPlace], store: SocketAddr) -> Self {
        let seeds: Vec<String> = seeds
            .iter()
            .take(3)
            .map(|seed| seed.address(2).to_string())
            .collect();
        let [front, ready, control, directory] = [0, 1, 2, 3].map(|index| place.address(index));
        let port = place.ports[4];
        let settings = format!(
            "Node={name}\nRole=entry\nMachineClass=front\nServes=front,directory,control\nIp={}\n\
             Zone=sala-norte\nRegion=gt-central\nZones.sala-norte=gt-central\nListen.Front={front}\n\
             Listen.ReadyAddress={ready}\nListen.Control={control}\nListen.Directory={directory}\n\
             PortRange={port},{port}\nSeeds={}\nBootstrap=true\nLossCounts=false\n\
             Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
             Limits.LinkMbps=1000.0\nDiscovery=platform\nEntry=directory\nHeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans\n\
             Tolerance.Machines=2\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.DrainMs=2000\n\
             Bounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigMs=2000\nBounds.RetryRatio=0.2\n\
             Bounds.RetryWindowS=10\nBounds.RetrySlack=106\nBounds.stall_ms=1500\n\
             Bounds.HoldMaxMs=20000\nBounds.FreeMs=4000\nBounds.IdleMaxMs=9000\nBounds.ttl_max_s=5\n\
             Platform.Address={store}\nPlatform.form=read\nPlatform.ReadsPerS=2000\n\
             Platform.HistoryS=20\nPlatform.ValueBytes=1048576\n",
            place.ip,
            seeds.join(","),
        );
        let folder = scratch();
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log can be created");
        let child = Command::new("target/release/whinlatchd")
            .args(["--platform", "--metrics-port", "9464"])
            .env("WHINLATCH_NODE_FILE", &path)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|fault| give_up(&format!("whinlatchd doesn't start: {fault}")));
        let child = Arc::new(Mutex::new(child));
        PROCESSES.lock().unwrap().push(Arc::clone(&child));
        Self {
            ip: place.ip,
            front,
            ready,
            directory,
            control,
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
    }

    /// Returns whether the process is running.
    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        give_up("a daemon isn't ready in time");
    }

    pub fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(
            stream,
            "GET /v1/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _killed = child.kill();
        let _ended = child.wait();
    }
}
