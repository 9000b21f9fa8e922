use {
    super::{
        fault::{ConfFault, FaultKind},
        reader::{
            Faults, ObjectReader, Place, Placed, choice, list, name, parse_jsonc,
            reachable_address, secret, whole, whole_u32,
        },
        settings::{LimitSettings, LogFormat, LogLevel, LogSettings, Settings},
    },
    std::{net::SocketAddr, ops::RangeInclusive},
};

/// Times that a setting may state, in ms: up to an hour.
const TIME_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Sizes that a setting may state: up to a gibibyte.
const SIZE_BYTES: RangeInclusive<u64> = 1..=1_073_741_824;
/// Connections that a setting may allow.
const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;

const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Reads the settings of a daemon from JSON with comments.
///
/// # Errors
/// All faults, by line. A syntax error hides what comes after it and stands alone.
pub fn check_settings(text: &str) -> Result<Settings, Vec<ConfFault>> {
    let node = parse_jsonc(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let settings = read_settings(&Place::root(&node), &mut faults);
    faults.into_result(settings)
}

fn read_settings(place: &Place<'_>, faults: &mut Faults) -> Option<Settings> {
    let mut object = ObjectReader::open(place, faults)?;
    let instance = object.required("instance", "\"entry-1\"", faults, name);
    let failure_domain = object.required("failure_domain", "\"a\"", faults, name);
    let caller_address = object.required(
        "caller_address",
        "\"10.0.0.1:7001\"",
        faults,
        placed_address(true),
    );
    let peer_address = object.required(
        "peer_address",
        "\"10.0.0.1:7002\"",
        faults,
        placed_address(true),
    );
    let platform_address = object.required(
        "platform_address",
        "\"10.0.0.9:7000\"",
        faults,
        placed_address(false),
    );
    let seed_peers = object.or(
        "seed_peers",
        Vec::new(),
        faults,
        list(placed_address(false)),
    );
    let peer_key = object.required("peer_key", "\"a long random text\"", faults, secret);
    let shutdown_ms = object.or(
        "shutdown_ms",
        Settings::DEFAULT_SHUTDOWN_MS,
        faults,
        whole(TIME_MS),
    );
    let limits = object.or("limits", LimitSettings::default(), faults, read_limits);
    let log = object.or("log", LogSettings::default(), faults, read_log);
    object.close(faults);

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

fn placed_address(
    any_port: bool,
) -> impl Fn(&Place<'_>, &mut Faults) -> Option<Placed<SocketAddr>> {
    let read = reachable_address(any_port);
    move |place, faults| read(place, faults).map(|address| place.with(address))
}

fn read_limits(place: &Place<'_>, faults: &mut Faults) -> Option<LimitSettings> {
    let absent = LimitSettings::default();
    let mut object = ObjectReader::open(place, faults)?;
    let max_body_bytes = object.or(
        "max_body_bytes",
        absent.max_body_bytes,
        faults,
        whole(SIZE_BYTES),
    );
    let max_header_bytes = object.or(
        "max_header_bytes",
        absent.max_header_bytes,
        faults,
        whole(SIZE_BYTES),
    );
    let max_connections = object.or(
        "max_connections",
        absent.max_connections,
        faults,
        whole_u32(CONNECTIONS),
    );
    let read_timeout_ms = object.or(
        "read_timeout_ms",
        absent.read_timeout_ms,
        faults,
        whole(TIME_MS),
    );
    let write_timeout_ms = object.or(
        "write_timeout_ms",
        absent.write_timeout_ms,
        faults,
        whole(TIME_MS),
    );
    let target_silence_ms = object.or(
        "target_silence_ms",
        absent.target_silence_ms,
        faults,
        whole(TIME_MS),
    );
    object.close(faults);
    Some(LimitSettings {
        max_body_bytes: max_body_bytes?,
        max_header_bytes: max_header_bytes?,
        max_connections: max_connections?,
        read_timeout_ms: read_timeout_ms?,
        write_timeout_ms: write_timeout_ms?,
        target_silence_ms: target_silence_ms?,
    })
}

fn read_log(place: &Place<'_>, faults: &mut Faults) -> Option<LogSettings> {
    let absent = LogSettings::default();
    let mut object = ObjectReader::open(place, faults)?;
    let format = object.or("format", absent.format, faults, |at, faults| {
        choice(at, &FORMATS, faults)
    });
    let level = object.or("level", absent.level, faults, |at, faults| {
        choice(at, &LEVELS, faults)
    });
    object.close(faults);
    Some(LogSettings {
        format: format?,
        level: level?,
    })
}

/// Reports addresses that stand twice. Two listeners can't share one, and a peer behind the
/// address of the platform would never answer. The own peer address may stand among the seeds,
/// so that one list serves all instances; port 0 means a free port and never clashes.
fn check_addresses(
    own: &[Option<&Placed<SocketAddr>>],
    seeds: &[Placed<SocketAddr>],
    faults: &mut Faults,
) {
    let own: Vec<_> = own.iter().flatten().copied().collect();
    for (index, address) in own.iter().enumerate() {
        report_twice(address, own[..index].iter().copied(), faults);
    }
    for (index, seed) in seeds.iter().enumerate() {
        let not_own_peer = own.iter().copied().filter(|it| it.path != "peer_address");
        report_twice(seed, not_own_peer.chain(&seeds[..index]), faults);
    }
}

fn report_twice<'p>(
    address: &Placed<SocketAddr>,
    mut earlier: impl Iterator<Item = &'p Placed<SocketAddr>>,
    faults: &mut Faults,
) {
    if address.value.port() == 0 {
        return;
    }
    let Some(first) = earlier.find(|it| it.value == address.value) else {
        return;
    };
    let what = format!("the address {} (`{}`)", first.value, first.path);
    let kind = FaultKind::Twice {
        what,
        first_line: first.line,
    };
    faults.add_at(address.line, address.path.clone(), kind);
}
