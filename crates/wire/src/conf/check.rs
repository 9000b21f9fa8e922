use {
    super::{
        fault::{ConfFault, FaultKind},
        reader::{
            Faults, Located, Location, ObjectReader, choice, integer, integer_u32, list, name,
            parse_jsonc, reachable_address, secret,
        },
        settings::{LimitSettings, LogFormat, LogLevel, LogSettings, Settings},
    },
    std::{net::SocketAddr, ops::RangeInclusive},
};

/// Range of a time in the settings, in ms: up to one hour.
const TIME_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Range of a size in the settings, in bytes: up to one gibibyte.
const SIZE_RANGE_BYTES: RangeInclusive<u64> = 1..=1_073_741_824;
/// Range of the limit on open connections.
const CONNECTION_RANGE: RangeInclusive<u32> = 1..=1_000_000;

const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Parses and checks the settings of a daemon, given as JSON with comments.
///
/// # Errors
/// All faults, ordered by line. A syntax error is reported alone, since the rest of the file can't
/// be parsed.
pub fn check_settings(text: &str) -> Result<Settings, Vec<ConfFault>> {
    let node = parse_jsonc(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let settings = read_settings(&Location::root(&node), &mut faults);
    faults.into_result(settings)
}

fn read_settings(location: &Location<'_>, faults: &mut Faults) -> Option<Settings> {
    let mut object = ObjectReader::open(location, faults)?;
    let instance = object.required("instance", "\"entry-1\"", faults, name);
    let failure_domain = object.required("failure_domain", "\"a\"", faults, name);
    let caller_address = object.required(
        "caller_address",
        "\"10.0.0.1:7001\"",
        faults,
        located_address(true),
    );
    let peer_address = object.required(
        "peer_address",
        "\"10.0.0.1:7002\"",
        faults,
        located_address(true),
    );
    let platform_address = object.required(
        "platform_address",
        "\"10.0.0.9:7000\"",
        faults,
        located_address(false),
    );
    let seed_peers = object.with_default(
        "seed_peers",
        Vec::new(),
        faults,
        list(located_address(false)),
    );
    let peer_key = object.required("peer_key", "\"a long random text\"", faults, secret);
    let shutdown_ms = object.with_default(
        "shutdown_ms",
        Settings::DEFAULT_SHUTDOWN_MS,
        faults,
        integer(TIME_RANGE_MS),
    );
    let limits = object.with_default("limits", LimitSettings::default(), faults, read_limits);
    let log = object.with_default("log", LogSettings::default(), faults, read_log);
    object.finish(faults);

    let own = [&caller_address, &peer_address, &platform_address];
    check_addresses(
        &own.map(Option::as_ref),
        seed_peers.as_deref().unwrap_or_default(),
        faults,
    );
    Some(Settings {
        instance: instance?,
        failure_domain: failure_domain?,
        caller_address: caller_address?.value,
        peer_address: peer_address?.value,
        platform_address: platform_address?.value,
        seed_peers: seed_peers?.into_iter().map(|peer| peer.value).collect(),
        peer_key: peer_key?,
        shutdown_ms: shutdown_ms?,
        limits: limits?,
        log: log?,
    })
}

fn located_address(
    any_port: bool,
) -> impl Fn(&Location<'_>, &mut Faults) -> Option<Located<SocketAddr>> {
    let read = reachable_address(any_port);
    move |location, faults| read(location, faults).map(|address| location.locate(address))
}

fn read_limits(location: &Location<'_>, faults: &mut Faults) -> Option<LimitSettings> {
    let defaults = LimitSettings::default();
    let mut object = ObjectReader::open(location, faults)?;
    let max_body_bytes = object.with_default(
        "max_body_bytes",
        defaults.max_body_bytes,
        faults,
        integer(SIZE_RANGE_BYTES),
    );
    let max_header_bytes = object.with_default(
        "max_header_bytes",
        defaults.max_header_bytes,
        faults,
        integer(SIZE_RANGE_BYTES),
    );
    let max_connections = object.with_default(
        "max_connections",
        defaults.max_connections,
        faults,
        integer_u32(CONNECTION_RANGE),
    );
    let read_timeout_ms = object.with_default(
        "read_timeout_ms",
        defaults.read_timeout_ms,
        faults,
        integer(TIME_RANGE_MS),
    );
    let write_timeout_ms = object.with_default(
        "write_timeout_ms",
        defaults.write_timeout_ms,
        faults,
        integer(TIME_RANGE_MS),
    );
    let target_silence_ms = object.with_default(
        "target_silence_ms",
        defaults.target_silence_ms,
        faults,
        integer(TIME_RANGE_MS),
    );
    object.finish(faults);
    Some(LimitSettings {
        max_body_bytes: max_body_bytes?,
        max_header_bytes: max_header_bytes?,
        max_connections: max_connections?,
        read_timeout_ms: read_timeout_ms?,
        write_timeout_ms: write_timeout_ms?,
        target_silence_ms: target_silence_ms?,
    })
}

fn read_log(location: &Location<'_>, faults: &mut Faults) -> Option<LogSettings> {
    let defaults = LogSettings::default();
    let mut object = ObjectReader::open(location, faults)?;
    let format = object.with_default("format", defaults.format, faults, |at, faults| {
        choice(at, &FORMATS, faults)
    });
    let level = object.with_default("level", defaults.level, faults, |at, faults| {
        choice(at, &LEVELS, faults)
    });
    object.finish(faults);
    Some(LogSettings {
        format: format?,
        level: level?,
    })
}

/// Reports duplicate addresses. Two listeners can't share an address, and a seed peer with the
/// address of the platform would never answer. The daemon's own peer address is allowed among the
/// seeds, so that all instances can use one list. Port 0 requests any free port and never
/// conflicts.
fn check_addresses(
    own: &[Option<&Located<SocketAddr>>],
    seeds: &[Located<SocketAddr>],
    faults: &mut Faults,
) {
    let own: Vec<_> = own.iter().flatten().copied().collect();
    for (index, address) in own.iter().enumerate() {
        report_duplicate(address, own[..index].iter().copied(), faults);
    }
    for (index, seed) in seeds.iter().enumerate() {
        let not_own_peer = own.iter().copied().filter(|it| it.path != "peer_address");
        report_duplicate(seed, not_own_peer.chain(&seeds[..index]), faults);
    }
}

fn report_duplicate<'p>(
    address: &Located<SocketAddr>,
    mut earlier: impl Iterator<Item = &'p Located<SocketAddr>>,
    faults: &mut Faults,
) {
    if address.value.port() == 0 {
        return;
    }
    let Some(first) = earlier.find(|it| it.value == address.value) else {
        return;
    };
    let what = format!("the address {} (`{}`)", first.value, first.path);
    let kind = FaultKind::Duplicate {
        what,
        first_line: first.line,
    };
    faults.add_at(address.line, address.path.clone(), kind);
}
