//! A fake entry with scripted answers, and helpers that run the tool.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Command, Output, Stdio},
    sync::{Arc, Mutex},
    thread,
};

/// A request as an entry received it.
#[derive(Debug, Clone, Default)]
pub struct Received {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Fake entry on a free loopback port. Its threads end with the test process.
#[derive(Debug)]
pub struct FakeEntry {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FakeEntry {
    /// Starts an entry that answers requests with `answer`, which receives the number of earlier requests
    /// without lookups. Lookups are answered with `listed`, or with this entry alone if that is empty.
    pub fn start(
        listed: &[SocketAddr],
        answer: impl Fn(usize, &Received) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let listed = if listed.is_empty() {
            vec![address]
        } else {
            listed.to_vec()
        };
        let received = Arc::new(Mutex::new(Vec::new()));
        let (recorded, answer) = (Arc::clone(&received), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (recorded, answer, listed) =
                    (Arc::clone(&recorded), Arc::clone(&answer), listed.clone());
                thread::spawn(move || {
                    serve(stream, |request| {
                        if request.path() == "/v1/entries" {
                            return json_answer(200, &entries_json(&listed));
                        }
                        let number = {
                            let mut recorded = recorded.lock().expect("no test thread panics");
                            recorded.push(request.clone());
                            recorded.len() - 1
                        };
                        answer(number, request)
                    });
                });
            }
        });
        Self { address, received }
    }

    /// Returns the requests received so far, without lookups.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().expect("no test thread panics").clone()
    }
}

fn serve(mut stream: TcpStream, answer: impl FnOnce(&Received) -> Vec<u8>) {
    let mut reader = BufReader::new(stream.try_clone().expect("sockets can be cloned"));
    let Some(mut request) = read_head(&mut reader) else {
        return;
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    if length > MAX_BODY {
        let _client_may_be_gone = stream.write_all(&answer(&request));
        loop {
            thread::park();
        }
    }
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_err() {
        return;
    }
    request.body = String::from_utf8_lossy(&body).into_owned();
    let _client_may_be_gone = stream.write_all(&answer(&request));
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let _rest = std::io::copy(&mut reader, &mut std::io::sink());
}

/// Maximum body size in bytes: larger bodies are answered but never read. It exceeds the socket buffers of a
/// connection, so that sending such a body blocks.
pub const MAX_BODY: usize = 32_000_000;

fn read_head(reader: &mut impl BufRead) -> Option<Received> {
    let mut request = Received::default();
    reader
        .read_line(&mut request.line)
        .ok()
        .filter(|bytes| *bytes > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) => request.headers.push((name.to_owned(), value.to_owned())),
            None => return Some(request),
        }
    }
}

/// Formats a response with a JSON body.
pub fn json_answer(status: u16, body: &str) -> Vec<u8> {
    full_answer(status, "content-type: application/json\r\n", body)
}

/// Formats a response with further headers, each terminated by a line break.
pub fn full_answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Formats a chunked response with one server-sent event per chunk.
pub fn event_stream(events: &[String]) -> Vec<u8> {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = |event: &String| format!("{:x}\r\n{event}\r\n", event.len());
    let chunks: Vec<String> = events.iter().map(chunk).collect();
    format!("{head}{}0\r\n\r\n", chunks.concat()).into_bytes()
}

pub fn text_event(request: u128, text: &str) -> String {
    format!(
        "data: {{\"id\":\"{request:032x}\",\"object\":\"text_completion\",\"model\":\"m\",\
         \"choices\":[{{\"index\":0,\"text\":\"{text}\"}}]}}\n\n"
    )
}

pub fn outcome_event(request: u128, outcome: &str, reason: &str) -> String {
    format!(
        "event: outcome\ndata: {}\n\n",
        outcome_json(request, outcome, reason, "")
    )
}

/// Formats an outcome as JSON. Each of the `extra_fields` starts with a comma.
pub fn outcome_json(request: u128, outcome: &str, reason: &str, extra_fields: &str) -> String {
    format!(
        "{{\"request\":\"{request:032x}\",\"outcome\":\"{outcome}\",\"reason\":\"{reason}\",\
         \"message\":\"as the test says\"{extra_fields}}}"
    )
}

fn entries_json(listed: &[SocketAddr]) -> String {
    let entry = |address| format!("{{\"address\":\"{address}\",\"failure_domain\":\"a\"}}");
    let entries: Vec<String> = listed.iter().map(entry).collect();
    format!("{{\"entries\":[{}],\"ttl_ms\":60000}}", entries.join(","))
}

/// Returns an address that refuses connections: the system assigns no test a port this low.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Exit code and output of one run of the tool.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    /// Parses standard output as one JSON answer per line.
    pub fn answers(&self) -> Vec<serde_json::Value> {
        let parse = |line| serde_json::from_str(line).expect("each line is JSON");
        self.out.lines().map(parse).collect()
    }
}

/// Runs the tool without the environment variables that it reads.
pub fn whinlatch(args: &[&str]) -> Run {
    whinlatch_with(&[], args)
}

/// Runs the tool with these environment variables, and without any others that it reads.
pub fn whinlatch_with(environment: &[(&str, &str)], args: &[&str]) -> Run {
    let variables = [
        "WHINLATCH_ENTRY",
        "WHINLATCH_ACCOUNT",
        "WHINLATCH_CALLER",
        "WHINLATCH_KEY",
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinlatch"));
    command.args(args).stdin(Stdio::null());
    for variable in variables {
        command.env_remove(variable);
    }
    command.envs(environment.iter().copied());
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the tool can be started");
    Run {
        code: status.code().expect("the tool isn't killed"),
        out: String::from_utf8(stdout).expect("the tool prints UTF-8"),
        err: String::from_utf8(stderr).expect("the tool prints UTF-8"),
    }
}

/// Temporary directory that is removed when the test ends, even if it fails.
#[derive(Debug)]
pub struct Directory(PathBuf);

impl Directory {
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("whinlatch-{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory for temporary files can be written");
        Self(path)
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).expect("the directory for temporary files can be written");
        path.to_str().expect("the path is UTF-8").to_owned()
    }

    /// Returns the output with this directory removed from paths.
    pub fn strip_path(&self, out: &str) -> String {
        out.replace(&format!("{}/", self.0.display()), "")
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _may_be_gone = fs::remove_dir_all(&self.0);
    }
}
