//! Three daemons are stopped and started in turn. Clients go on asking for streams that take some five seconds.

#[path = "../lib/standins.rs"]
mod standins;

use {
    standins::{
        Daemon, DaemonPlace, HOST, KEY, Record, Store, entry_json, finish, give_up, is_troubled,
        limit_time, read_body, read_head,
    },
    std::{
        collections::{HashMap, HashSet},
        env,
        io::{self, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const DAEMONS: usize = 3;
const WORKERS: usize = 4;
const CLIENTS: usize = 24;
/// `Bounds.GraceS`.
const GRACE: Duration = Duration::from_secs(8);
/// `Bounds.ContactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from one SIGTERM to the next: the default of `roll_term`.
const GAP: Duration = Duration::from_secs(1);
/// Time for which requests that are sent after SIGTERM may still be cut by the end of the grace time.
const EXCUSED: Duration = Duration::from_secs(3);
/// Time for which clients send requests.
const TRAFFIC: Duration = Duration::from_secs(20);
/// Time between the first requests of two clients.
const CLIENT_STAGGER: Duration = Duration::from_millis(200);
const EVENTS: u64 = 19;
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// Time after which all clients have sent requests.
const ALL_CLIENTS_RUN: Duration = Duration::from_secs(5);
const ROUTE: &str = "/lohu930/";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What workers saw: for each request id, whether a worker ran it, and when its connection ended during the run.
#[derive(Default)]
struct Seen {
    ran: Mutex<HashSet<String>>,
    cut: Mutex<HashMap<String, Instant>>,
}

/// A request whose connection ended without a complete answer.
struct Cut {
    id: String,
    daemon: SocketAddr,
    sent: Instant,
    ended: Instant,
}

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-audit\",\"Host\":\"{HOST}\",\"Prefix\":\"{ROUTE}\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":15000,\"ObjectiveMs\":3000,\"Priority\":1,\
         \"Service\":\"huvo11a\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,\
         \"GapAimMs\":1000}}],\"Services\":[{{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\",\"MaxConns\":374,\
         \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":16,\"KvCapacity\":405000,\"Stride\":34,\
         \"Models\":[{{\"Name\":\"m\"}}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,\
         \"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"HopMs\":0.1}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    )
}

fn start_worker(id: String, seen: Arc<Seen>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, seen) = (id.clone(), Arc::clone(&seen));
            thread::spawn(move || {
                // The daemon closes its connections as it likes.
                let _ended = serve_worker(&id, &seen, stream);
            });
        }
    });
    address
}

/// A sound worker: it answers each request with a stream of events, after the one that the client has.
fn serve_worker(own: &str, seen: &Seen, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    while let Some(head) = read_head(&mut input)? {
        read_body(&mut input, &head, &mut Vec::new())?;
        if head.path() == "/v1/report" || head.path() == "/v1/order" {
            let body = "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,\
                        \"Seq\":0,\"Waiting\":0,\"Running\":1,\"KvUsed\":0,\"KvTotal\":405000,\"Handles\":0,\
                        \"pace\":1.0,\"Tickets\":[],\"Free\":300000}";
            let length = body.len();
            write!(
                output,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            )?;
            continue;
        }
        let id = head.get("x-whinlatch-request-id").unwrap_or("").to_owned();
        if head.get("x-whinlatch-expect-instance") != Some(own) {
            write!(
                output,
                "HTTP/1.1 421 Misdirected Request\r\nX-Whinlatch-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        seen.ran.lock().unwrap().insert(id.clone());
        let after = head
            .get("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let Err(fault) = write_events(&mut output, &id, after) {
            seen.cut.lock().unwrap().insert(id, Instant::now());
            return Err(fault);
        }
    }
    Ok(())
}

fn write_events(output: &mut TcpStream, id: &str, after: u64) -> io::Result<()> {
    write!(
        output,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Whinlatch-Request-Id: {id}\r\n\
         X-Whinlatch-Response-Seal: seal-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in after + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {number}\ndata: event {number}\n\n");
        write!(output, "{:x}\r\n{event}\r\n", event.len())?;
    }
    output.write_all(b"0\r\n\r\n")
}

/// Addresses for which a client asks directories, nearest first.
fn resolve(directories: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    directories.iter().find_map(|directory| {
        let text = ask(*directory).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        let (_, list) = body.split_once("\"Addresses\":[")?;
        let (list, _) = list.split_once(']')?;
        let addresses = list
            .split(',')
            .map(|address| address.trim_matches('"').parse().ok());
        let addresses: Vec<SocketAddr> = addresses.collect::<Option<_>>()?;
        (head.starts_with("HTTP/1.1 200") && !addresses.is_empty()).then_some(addresses)
    })
}

fn ask(directory: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&directory, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(
        stream,
        "GET /v1/resolve?Name={HOST}&Region=gt-central&Zone=sala-norte HTTP/1.1\r\nHost: {directory}\r\n\
         Connection: close\r\n\r\n"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

struct Client {
    number: usize,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    resolved: Instant,
    /// Time for which it keeps the addresses: `TtlS`, or three times that.
    ttl: Duration,
    failed: HashSet<SocketAddr>,
    kept: Option<(SocketAddr, BufReader<TcpStream>)>,
    draws: u64,
    record: Record,
    cuts: Arc<Mutex<Vec<Cut>>>,
    completed: Arc<AtomicU64>,
}

impl Client {
    fn run(mut self, until: Instant) {
        thread::sleep(CLIENT_STAGGER * self.number as u32);
        while Instant::now() < until {
            let mut last = 0;
            for _attempt in 0..2 {
                if self.attempt(&mut last) || Instant::now() >= until {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Renews the addresses if they are too old. Without a new answer it keeps the old ones.
    fn renew_addresses(&mut self) {
        if self.resolved.elapsed() < self.ttl {
            return;
        }
        let Some(addresses) = resolve(&self.directories) else {
            return;
        };
        self.addresses = addresses;
        self.resolved = Instant::now();
        self.failed.clear();
        if self
            .kept
            .as_ref()
            .is_some_and(|(address, _)| !self.addresses.contains(address))
        {
            self.kept = None;
        }
    }

    fn connection(&mut self) -> Option<(SocketAddr, BufReader<TcpStream>)> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        let usable: Vec<SocketAddr> = self
            .addresses
            .iter()
            .filter(|address| !self.failed.contains(address))
            .copied()
            .collect();
        if usable.is_empty() {
            thread::sleep(Duration::from_millis(100));
            return None;
        }
        self.draws += 1;
        let address = usable[(self.draws as usize * 7 + self.number) % usable.len()];
        match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            Ok(stream) => Some((address, BufReader::new(stream))),
            Err(_refused) => {
                self.failed.insert(address);
                None
            }
        }
    }

    /// Sends a request, which resumes the stream after `last`. Returns whether it is over.
    fn attempt(&mut self, last: &mut u64) -> bool {
        self.renew_addresses();
        let Some((address, mut input)) = self.connection() else {
            return false;
        };
        let id = format!(
            "{:016x}",
            0x9c41_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
        );
        let resumed = if *last > 0 {
            format!("Last-Event-Id: {last}\r\n")
        } else {
            String::new()
        };
        let request = format!(
            "POST {ROUTE}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Whinlatch-Request-Id: {id}\r\n{resumed}\
             X-Whinlatch-Model: m\r\nX-Whinlatch-Token-Count: 1460,646\r\n\
             X-Whinlatch-Prefix-Hash: 5c1e07a2:40,{id}:1420\r\nX-Whinlatch-Deadline-Ms: 15000\r\n\
             Authorization: Token {KEY}\r\nContent-Length: 6\r\n\r\nprompt"
        );
        let written = input.get_mut().write_all(request.as_bytes());
        let sent = Instant::now();
        self.record
            .line(&format!("sent {id} to {address} after event {last}"));
        let mut body = Vec::new();
        let answered = written.and_then(|()| {
            let head = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            read_body(&mut input, &head, &mut body)?;
            Ok(head)
        });
        let ended = Instant::now();
        let text = String::from_utf8_lossy(&body);
        let events = text.matches("\n\n").count() as u64;
        match answered {
            Ok(head) => {
                self.record.line(&format!(
                    "answered {id} status {} events {events}",
                    head.status()
                ));
                if head.status() == 200 {
                    self.completed.fetch_add(1, Ordering::Relaxed);
                }
                let closes = head.get("connection").is_some_and(|value| value == "close");
                self.kept = (!closes).then_some((address, input));
                head.status() == 200
            }
            Err(fault) => {
                self.record.line(&format!(
                    "cut {id} at {address} after {events} events: {fault}"
                ));
                *last += events;
                self.failed.insert(address);
                let cut = Cut {
                    id,
                    daemon: address,
                    sent,
                    ended,
                };
                self.cuts.lock().unwrap().push(cut);
                false
            }
        }
    }
}

/// Stops the daemons in turn, and starts each again when it has ended.
fn roll(
    daemons: &mut [Daemon],
    places: &[DaemonPlace],
    store: SocketAddr,
    record: &Record,
) -> HashMap<SocketAddr, Instant> {
    let mut stopped: HashMap<SocketAddr, Instant> = HashMap::new();
    let mut restarted: HashSet<usize> = HashSet::new();
    let began = Instant::now();
    while restarted.len() < daemons.len() {
        for index in 0..daemons.len() {
            let daemon = &daemons[index];
            match stopped.get(&daemon.front) {
                None if began.elapsed() >= GAP * index as u32 => {
                    daemon.signal("TERM");
                    stopped.insert(daemon.front, Instant::now());
                    record.line(&format!("SIGTERM to {}", daemon.front));
                }
                Some(at) if !restarted.contains(&index) => {
                    if daemon.is_running() && at.elapsed() >= GRACE {
                        daemon.signal("KILL");
                    }
                    if !daemon.is_running() {
                        record.line(&format!("{} has ended and starts again", daemon.front));
                        daemons[index] =
                            Daemon::start(&format!("front-{index}"), places[index], places, store);
                        restarted.insert(index);
                    }
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    stopped
}

fn main() {
    limit_time();
    let record = Record::create(
        &env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned()),
    );
    let store = Store::start();
    let seen = Arc::new(Seen::default());
    for number in 0..WORKERS {
        let id = format!("i-{number}");
        let address = start_worker(id.clone(), Arc::clone(&seen));
        store.write(
            &format!("servers/{id}"),
            Some(&entry_json("huvo11a", address, "ready", 1)),
        );
    }
    store.write("op/config", Some(&configuration()));
    let places: Vec<DaemonPlace> = (0..DAEMONS)
        .map(|number| DaemonPlace::find(number as u8))
        .collect();
    let mut daemons: Vec<Daemon> = places
        .iter()
        .enumerate()
        .map(|(index, place)| {
            Daemon::start(&format!("front-{index}"), *place, &places, store.address)
        })
        .collect();
    for daemon in &daemons {
        daemon.wait_until_ready(Duration::from_secs(10));
    }
    let directories: Vec<SocketAddr> = places.iter().map(DaemonPlace::directory).collect();
    let until_all_are_named = Instant::now() + Duration::from_secs(5);
    while resolve(&directories).map_or(0, |addresses| addresses.len()) < DAEMONS {
        if Instant::now() > until_all_are_named {
            give_up("the directory doesn't name all daemons");
        }
        thread::sleep(Duration::from_millis(50));
    }

    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let completed = Arc::new(AtomicU64::new(0));
    // No disruption may have ended within `ContactMs` of the requests.
    thread::sleep(CONTACT);
    let until = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut directories = directories.clone();
            directories.rotate_left(number % DAEMONS);
            let addresses = resolve(&directories).unwrap_or_else(|| give_up("no addresses"));
            let client = Client {
                number,
                directories,
                addresses,
                resolved: Instant::now(),
                ttl: Duration::from_secs(if number % 3 == 0 { 3 } else { 1 }),
                failed: HashSet::new(),
                kept: None,
                draws: 0,
                record: record.clone(),
                cuts: Arc::clone(&cuts),
                completed: Arc::clone(&completed),
            };
            thread::spawn(move || client.run(until))
        })
        .collect();
    thread::sleep(ALL_CLIENTS_RUN);
    let stopped = if is_troubled() {
        roll(&mut daemons, &places, store.address, &record)
    } else {
        HashMap::new()
    };
    for client in clients {
        let _ended = client.join();
    }

    let mut lost: u64 = 0;
    let ran = seen.ran.lock().unwrap();
    let worker_cuts = seen.cut.lock().unwrap();
    for cut in cuts.lock().unwrap().iter() {
        let Some(stopped_at) = stopped.get(&cut.daemon) else {
            record.line(&format!(
                "{} ended without a complete answer, with no SIGTERM",
                cut.id
            ));
            lost += u64::from(ran.contains(&cut.id));
            continue;
        };
        let sent_after = cut.sent.saturating_duration_since(*stopped_at);
        let ended_after = cut.ended.saturating_duration_since(*stopped_at);
        let is_around = cut.sent >= *stopped_at && ended_after <= GRACE + Duration::from_secs(1);
        let has_run = ran.contains(&cut.id);
        let was_at_work = worker_cuts.contains_key(&cut.id);
        if is_around && has_run && was_at_work && sent_after > EXCUSED {
            record.line(&format!(
                "LOST {}: sent {:.3} s after SIGTERM, passed on to a worker, cut {:.3} s after SIGTERM",
                cut.id,
                sent_after.as_secs_f64(),
                ended_after.as_secs_f64()
            ));
            lost += 1;
        }
    }
    let completed = completed.load(Ordering::Relaxed);
    let summary = format!("{completed} streams completed, {lost} requests lost against the rule");
    record.line(&summary);
    println!("{summary}");
    if completed == 0 {
        give_up("no stream was completed");
    }
    finish(i32::from(lost > 0));
}
