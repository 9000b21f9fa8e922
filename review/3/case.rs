//! Clients read streams of a plain service, some connections are reset in the middle of the answer, and their clients
//! resume the streams.

#[path = "../lib/standins.rs"]
mod standins;

use {
    standins::{
        Daemon, DaemonPlace, HOST, Head, KEY, Record, Store, entry_json, finish, give_up,
        is_troubled, limit_time, read_body, read_head,
    },
    std::{
        env,
        io::{self, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        os::fd::AsRawFd,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `reset_conns` strikes a share of 0.1 of the machines: one of them.
const DAEMONS: usize = 10;
const WORKERS: usize = 3;
const CLIENTS: usize = 60;
const EVENTS: u64 = 40;
const EVENT_BYTES: usize = 1_000;
/// Pace of the link to clients: a piece each interval.
const PIECE_BYTES: usize = 4_096;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes of an answer after which a connection is reset, about half of them.
const RESET_AFTER_BYTES: usize = 20_000;
/// `reset_conns` resets this share of the connections of a machine.
const RESET_SHARE: f64 = 0.5;
const ROUTE: &str = "/feed/";
const SO_LINGER: i32 = 13;
const SOL_SOCKET: i32 = 1;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Resets a connection once all handles to it are closed.
fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    // SAFETY: the value is a `struct linger` of two integers, and the socket is open.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-feed\",\"Host\":\"{HOST}\",\"Prefix\":\"{ROUTE}\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":10000,\"ObjectiveMs\":300,\"Priority\":1,\
         \"Service\":\"wuno96b\",\"MaxAttempts\":2,\"Public\":false,\"Resumable\":true,\"GapAimMs\":250}}],\
         \"Services\":[{{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    )
}

fn start_worker(id: String, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            thread::spawn(move || {
                // The daemon closes its connections as it likes.
                let _ended = serve_worker(&id, &record, stream);
            });
        }
    });
    address
}

/// A sound worker: it answers each request with a stream of events, after the one that the request names.
fn serve_worker(own: &str, record: &Record, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    while let Some(head) = read_head(&mut input)? {
        read_body(&mut input, &head, &mut Vec::new())?;
        let id = head.get("x-whinlatch-request-id").unwrap_or("");
        if head.get("x-whinlatch-expect-instance") != Some(own) {
            write!(
                output,
                "HTTP/1.1 421 Misdirected Request\r\nX-Whinlatch-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let last = head.get("last-event-id");
        record.line(&format!(
            "worker {own} runs {id}, Last-Event-Id {}",
            last.unwrap_or("none")
        ));
        let after: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        write!(
            output,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Whinlatch-Request-Id: {id}\r\n\
             X-Whinlatch-Response-Seal: seal-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            write!(output, "{:x}\r\n{event}\r\n", event.len())?;
        }
        output.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// The link between clients and a daemon: it passes answers on at a limited pace, and resets connections.
struct Link {
    address: SocketAddr,
    /// Connections that are still to be reset.
    resets: Arc<AtomicU64>,
}

impl Link {
    fn start(daemon: SocketAddr, record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let resets = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&resets);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (resets, record) = (Arc::clone(&shared), record.clone());
                thread::spawn(move || {
                    // Either side may close the connection.
                    let _ended = pass_on(client, daemon, &resets, &record);
                });
            }
        });
        Self { address, resets }
    }
}

fn pass_on(
    client: TcpStream,
    daemon: SocketAddr,
    resets: &AtomicU64,
    record: &Record,
) -> io::Result<()> {
    let server = TcpStream::connect(daemon)?;
    let (mut from_client, mut to_server) = (client.try_clone()?, server.try_clone()?);
    thread::spawn(move || io::copy(&mut from_client, &mut to_server));
    let (mut server, mut client) = (server, client);
    let mut passed = 0;
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let count = server.read(&mut piece)?;
        if count == 0 {
            return client.shutdown(std::net::Shutdown::Both);
        }
        client.write_all(&piece[..count])?;
        passed += count;
        thread::sleep(PIECE_INTERVAL);
        let takes_one = |left: u64| left.checked_sub(1);
        if passed >= RESET_AFTER_BYTES
            && resets
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, takes_one)
                .is_ok()
        {
            record.line(&format!(
                "a connection to {daemon} is reset after {passed} bytes of the answer"
            ));
            reset_on_close(&client);
            client.shutdown(std::net::Shutdown::Read)?;
            return server.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Sends a request, and reads its answer as far as it comes. Returns the ids of the complete events, and the head if the
/// answer is whole.
fn ask(front: SocketAddr, last: u64, record: &Record) -> (Vec<u64>, Option<Head>) {
    let id = format!(
        "{:016x}",
        0x9c41_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
    );
    let resumed = if last > 0 {
        format!("Last-Event-Id: {last}\r\n")
    } else {
        String::new()
    };
    let request = format!(
        "POST {ROUTE}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Whinlatch-Request-Id: {id}\r\n{resumed}\
         X-Whinlatch-Deadline-Ms: 10000\r\nAuthorization: Token {KEY}\r\nContent-Length: 4\r\n\r\nfeed"
    );
    let mut body = Vec::new();
    let answered = TcpStream::connect(front).and_then(|mut stream| {
        stream.write_all(request.as_bytes())?;
        record.line(&format!("sent {id}, Last-Event-Id {last}"));
        let mut input = BufReader::new(stream);
        let head = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut input, &head, &mut body)?;
        Ok(head)
    });
    let text = String::from_utf8_lossy(&body);
    let complete = text
        .rsplit_once("\n\n")
        .map_or("", |(complete, _rest)| complete);
    let events: Vec<u64> = complete
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("id: ")?.split('\n').next()?.parse().ok())
        .collect();
    let ended = match &answered {
        Ok(head) => format!("whole, status {}", head.status()),
        Err(fault) => format!("broken: {fault}"),
    };
    let range = events.first().zip(events.last());
    record.line(&format!("answered {id}, events {range:?}, {ended}"));
    (events, answered.ok())
}

/// Reads one stream, and resumes it once if its connection breaks. Returns the ids of its events in the order in which
/// they came, and whether it is complete.
fn read_stream(front: SocketAddr, record: &Record) -> (Vec<u64>, bool) {
    let (mut events, mut head) = ask(front, 0, record);
    if head.is_none() {
        let (more, resumed) = ask(front, events.last().copied().unwrap_or(0), record);
        events.extend(more);
        head = resumed;
    }
    (events, head.is_some_and(|head| head.status() == 200))
}

fn main() {
    limit_time();
    let record = Record::create(
        &env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned()),
    );
    let store = Store::start();
    for number in 0..WORKERS {
        let id = format!("i-{number}");
        let address = start_worker(id.clone(), record.clone());
        store.write(
            &format!("servers/{id}"),
            Some(&entry_json("wuno96b", address, "ready", 1)),
        );
    }
    store.write("op/config", Some(&configuration()));
    let places: Vec<DaemonPlace> = (0..DAEMONS)
        .map(|number| DaemonPlace::find(number as u8))
        .collect();
    let daemons: Vec<Daemon> = places
        .iter()
        .enumerate()
        .map(|(index, place)| {
            Daemon::start(&format!("front-{index}"), *place, &places, store.address)
        })
        .collect();
    for daemon in &daemons {
        daemon.wait_until_ready(Duration::from_secs(10));
    }
    let links: Vec<Link> = daemons
        .iter()
        .map(|daemon| Link::start(daemon.front, record.clone()))
        .collect();
    if is_troubled() {
        let connections = (CLIENTS / DAEMONS) as f64;
        links[0]
            .resets
            .store((connections * RESET_SHARE) as u64, Ordering::SeqCst);
    }

    let streams: Arc<Mutex<Vec<(Vec<u64>, bool)>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = links[number % DAEMONS].address;
            let (record, streams) = (record.clone(), Arc::clone(&streams));
            thread::spawn(move || {
                let stream = read_stream(front, &record);
                streams.lock().unwrap().push(stream);
            })
        })
        .collect();
    for client in clients {
        let _ended = client.join();
    }

    let expected: Vec<u64> = (1..=EVENTS).collect();
    let streams = streams.lock().unwrap();
    let completed = streams
        .iter()
        .filter(|(_, is_complete)| *is_complete)
        .count();
    let mut broken = 0;
    for (events, _) in streams
        .iter()
        .filter(|(events, is_complete)| *is_complete && *events != expected)
    {
        let again = events.windows(2).position(|pair| pair[1] <= pair[0]);
        record.line(&format!(
            "ORDER: a stream of {} events, {:?} is followed by {:?}",
            events.len(),
            again.map(|index| events[index]),
            again.map(|index| events[index + 1])
        ));
        broken += 1;
    }
    let summary = format!(
        "{completed} of {CLIENTS} streams completed in {:.1} s, {broken} against the rule",
        began.elapsed().as_secs_f64()
    );
    record.line(&summary);
    println!("{summary}");
    if completed == 0 {
        give_up("no stream was completed");
    }
    finish(i32::from(broken > 0));
}
