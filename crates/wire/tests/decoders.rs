//! Property tests: no decoder panics on untrusted input, and encoded values round-trip.
//!
//! The seed is fixed, so that every run has the same result; `PROPTEST_CASES` sets the number of
//! cases.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    serde::de::DeserializeOwned,
    whinlatch_wire::{
        caller::{CompletionChunk, CompletionRequest, Entries, Outcome},
        conf::{check_file, check_records, check_settings},
        ids::{AttemptId, Incarnation, RequestId, Revision, Ticket},
        peer::{
            Heartbeat, Hello, MemberNews, MemberStamp, MemberState, News, PeerFrame, PoisonNews,
            RecordListing, RecordPull, RecordStamp, RecordSummary, TargetLoad, decode_frame,
            encode_frame, prove, verify,
        },
        platform::{InstanceList, RecordPage},
        record::{RecordEnvelope, parse_record},
        report::{DecisionReport, RecordsReport, StatusReport},
        target::{CacheEvents, EngineState, GenerateRequest, LoadReport, ServiceCall, StreamChunk},
    },
};

const SEED: u64 = 0x5eed;
const SETTINGS: &str = include_str!("../../../conf/whinlatchd.jsonc");
const RECORDS: &str = include_str!("../../../conf/records.jsonc");

fn fixed_seed() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u128>().prop_map(Incarnation)
}

fn hello() -> impl Strategy<Value = Hello> {
    (any::<u32>(), ".{0,20}", incarnation(), any::<u128>()).prop_map(
        |(protocol, name, incarnation, nonce)| Hello {
            protocol,
            instance: name.as_str().into(),
            incarnation,
            failure_domain: name.as_str().into(),
            caller_address: ([10, 0, 0, 1], 7_001).into(),
            peer_address: ([10, 0, 0, 1], 7_002).into(),
            nonce,
        },
    )
}

fn member() -> impl Strategy<Value = MemberNews> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead)
    ];
    (incarnation(), ".{0,20}", any::<u64>(), state).prop_map(
        |(incarnation, name, version, state)| MemberNews {
            incarnation,
            instance: name.as_str().into(),
            failure_domain: name.as_str().into(),
            caller_address: ([10, 0, 0, 1], 7_001).into(),
            peer_address: ([10, 0, 0, 1], 7_002).into(),
            version,
            state,
        },
    )
}

fn news() -> impl Strategy<Value = News> {
    let loads = (incarnation(), any::<u64>(), any::<u32>()).prop_map(|(origin, number, load)| {
        let target = "engine-1".into();
        TargetLoad {
            origin,
            number,
            target,
            in_flight: load,
            prefill_left_ms: number,
            long_left_ms: !number,
            claimed_ms: number / 2,
            claim_age_ms: number / 3,
            helping_ms: number / 4,
        }
    });
    let poison = (any::<u64>(), prop::collection::vec(incarnation(), 0..3)).prop_map(
        |(fingerprint, deaths)| PoisonNews {
            fingerprint,
            alone: deaths.clone(),
            deaths,
            keep_ms: 1,
        },
    );
    (
        prop::collection::vec(member(), 0..4),
        prop::collection::vec(loads, 0..4),
        prop::collection::vec(poison, 0..4),
    )
        .prop_map(|(members, loads, poison)| News {
            members,
            loads,
            poison,
            ..News::default()
        })
}

fn envelope() -> impl Strategy<Value = RecordEnvelope> {
    (".{0,20}", any::<u64>(), prop::option::of(".{0,40}")).prop_map(|(key, revision, value)| {
        RecordEnvelope {
            key: key.as_str().into(),
            revision: Revision(revision),
            value: value.map(Into::into),
        }
    })
}

fn frame() -> impl Strategy<Value = PeerFrame> {
    let heartbeat = any::<u64>().prop_map(|number| {
        let newest = Revision(number);
        Heartbeat {
            number,
            records: RecordSummary {
                newest,
                count: number,
                digest: !number,
            },
        }
    });
    let pull = (
        prop::option::of(any::<u64>()),
        prop::collection::vec(any::<u64>(), 0..9),
        prop::collection::vec(any::<u64>(), 0..9),
    )
        .prop_map(|(after, buckets, keys)| RecordPull {
            after: after.map(Revision),
            buckets,
            keys,
        });
    let alive =
        (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(short, version, beat)| MemberStamp {
            short,
            version,
            beat,
        });
    let stamp = (any::<u64>(), any::<u64>(), any::<u32>())
        .prop_map(|(key, revision, value)| (key, Revision(revision), value))
        .prop_map(RecordStamp::from);
    let listing = prop::collection::vec(stamp, 0..9).prop_map(|stamps| RecordListing { stamps });
    (
        prop::option::of(hello()),
        prop::option::of(heartbeat),
        news(),
        prop::option::of(pull),
        prop::option::of(listing),
        prop::collection::vec(alive, 0..4),
        prop::collection::vec(envelope(), 0..4),
        any::<bool>(),
    )
        .prop_map(
            |(hello, heartbeat, news, pull, listing, alive, records, pull_done)| PeerFrame {
                hello,
                proof: None,
                heartbeat,
                news,
                pull,
                listing,
                alive,
                records,
                pull_done,
            },
        )
}

/// Generates copies of `text` in which some bytes are removed or overwritten.
fn damaged(text: &'static str) -> impl Strategy<Value = String> {
    let cuts = prop::collection::vec((0..text.len(), 0..40_usize, ".{0,3}"), 1..4);
    cuts.prop_map(move |cuts| {
        let mut bytes = text.as_bytes().to_vec();
        for (begin, length, new) in cuts {
            let begin = begin.min(bytes.len());
            let end = (begin + length).min(bytes.len());
            bytes.splice(begin..end, new.into_bytes());
        }
        String::from_utf8_lossy(&bytes).into_owned()
    })
}

/// Asserts that JSON which is accepted as a `T` still gives the same value after it was serialized
/// and parsed again.
fn check_round_trip_if_accepted<
    T: DeserializeOwned + serde::Serialize + PartialEq + std::fmt::Debug,
>(
    json: &str,
) {
    if let Ok(value) = serde_json::from_str::<T>(json) {
        let written = serde_json::to_string(&value).expect("accepted values can be written");
        assert_eq!(
            serde_json::from_str::<T>(&written).expect("and read again"),
            value
        );
    }
}

/// Generates JSON objects with field names of the messages, so that decoding gets beyond the first
/// field.
fn message() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<u128>().prop_map(|number| format!("\"{number:032x}\"")),
        Just("\"10.0.0.1:80\"".to_owned()),
        Just("\"live\"".to_owned()),
        Just("[]".to_owned()),
    ];
    let names = [
        "model",
        "prompt",
        "request",
        "outcome",
        "reason",
        "message",
        "attempt",
        "sequence",
        "text",
        "tokens",
        "incarnation",
        "events",
        "entries",
        "ttl_ms",
        "revision",
        "records",
        "version",
        "daemons",
        "targets",
        "running",
        "waiting",
        "steps",
        "instance",
        "newest",
    ];
    let field = (prop::sample::select(names.to_vec()), leaf);
    prop::collection::vec(field, 0..8).prop_map(|fields| {
        let fields: Vec<String> = fields
            .iter()
            .map(|(name, value)| format!("\"{name}\":{value}"))
            .collect();
        format!("{{{}}}", fields.join(","))
    })
}

fn decode_as_each_message(json: &str) {
    check_round_trip_if_accepted::<CompletionRequest>(json);
    check_round_trip_if_accepted::<CompletionChunk>(json);
    check_round_trip_if_accepted::<Outcome>(json);
    check_round_trip_if_accepted::<Entries>(json);
    check_round_trip_if_accepted::<RecordPage>(json);
    check_round_trip_if_accepted::<InstanceList>(json);
    check_round_trip_if_accepted::<GenerateRequest>(json);
    check_round_trip_if_accepted::<StreamChunk>(json);
    check_round_trip_if_accepted::<ServiceCall>(json);
    check_round_trip_if_accepted::<LoadReport>(json);
    check_round_trip_if_accepted::<CacheEvents>(json);
    check_round_trip_if_accepted::<EngineState>(json);
    check_round_trip_if_accepted::<StatusReport>(json);
    check_round_trip_if_accepted::<RecordsReport>(json);
    check_round_trip_if_accepted::<DecisionReport>(json);
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_to_a_frame_that_round_trips(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        if let Ok(frame) = decode_frame(&bytes) {
            let again = encode_frame(&frame).expect("a decoded frame is small enough");
            prop_assert_eq!(decode_frame(&again).expect("and decodes"), frame);
        }
    }

    #[test]
    fn frames_round_trip(frame in frame()) {
        let bytes = encode_frame(&frame).expect("the frame is small");

        prop_assert_eq!(decode_frame(&bytes).expect("the frame decodes"), frame);
    }

    #[test]
    fn truncated_frames_never_decode(frame in frame(), cut in any::<prop::sample::Index>()) {
        let bytes = encode_frame(&frame).expect("the frame is small");

        let decoded = decode_frame(&bytes[..cut.index(bytes.len())]);

        prop_assert!(decoded.is_err());
    }

    #[test]
    fn damaged_frames_do_not_panic(
        frame in frame(),
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode_frame(&frame).expect("the frame is small");
        let index = index.index(bytes.len());
        bytes[index] = byte;

        if let Ok(decoded) = decode_frame(&bytes) {
            prop_assert!(encode_frame(&decoded).is_ok());
        }
    }

    #[test]
    fn proofs_verify_only_with_their_key_nonce_and_incarnation(
        key in prop::collection::vec(any::<u8>(), 1..40),
        nonce in any::<u128>(),
        own in incarnation(),
    ) {
        let proof = prove(&key, nonce, own);

        prop_assert!(verify(&key, nonce, own, &proof));
        prop_assert!(!verify(&[&key[..], b"x"].concat(), nonce, own, &proof));
        prop_assert!(!verify(&key, !nonce, own, &proof));
        prop_assert!(!verify(&key, nonce, Incarnation(!own.0), &proof));
    }

    #[test]
    fn ids_round_trip(number in any::<u128>(), ticket_number in any::<u64>()) {
        let ticket = Ticket { home: Incarnation(number), number: ticket_number };

        prop_assert_eq!(ticket.to_string().parse(), Ok(ticket));
        prop_assert_eq!(Incarnation(number).to_string().parse(), Ok(Incarnation(number)));
        prop_assert_eq!(RequestId(number).to_string().parse(), Ok(RequestId(number)));
        prop_assert_eq!(AttemptId(number).to_string().parse(), Ok(AttemptId(number)));
    }

    #[test]
    fn arbitrary_texts_are_rejected_as_ids_or_round_trip(text in "[0-9a-fA-F-]{0,60}|.{0,60}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string(), text.to_lowercase());
        }
        if let Ok(id) = text.parse::<RequestId>() {
            prop_assert_eq!(id.to_string(), text.to_lowercase());
        }
    }

    #[test]
    fn arbitrary_texts_do_not_panic(text in ".{0,200}|[\\[\\]{}\":,0-9eE.+-]{0,200}") {
        let faulty = check_settings(&text).is_err();
        let _records = check_records(&text);
        let _file = check_file(&text);
        let _record = parse_record(&text);
        decode_as_each_message(&text);

        prop_assert!(faulty, "settings have required fields");
    }

    #[test]
    fn json_with_the_messages_fields_does_not_panic(text in message()) {
        decode_as_each_message(&text);
    }

    #[test]
    fn damaged_settings_are_accepted_or_faults_have_valid_lines(text in damaged(SETTINGS)) {
        if let Err(faults) = check_settings(&text) {
            let lines = text.lines().count() + 1;
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line)));
        }
    }

    #[test]
    fn damaged_records_are_reported_or_parse_the_same_in_a_daemon(text in damaged(RECORDS)) {
        match check_records(&text) {
            Ok(entries) => {
                for entry in entries {
                    prop_assert_eq!(parse_record(&entry.value), Ok(entry.body));
                }
            }
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
    }
}

/// Guards against a stack overflow that would abort the daemon: a peer could send a frame of
/// nested lists so deep that a decoder without a recursion limit overflows its stack.
#[test]
fn deep_nesting_in_a_frame_is_rejected() {
    let bytes = vec![0x81; 1_000_000];

    decode_frame(&bytes).expect_err("a frame is a map and is not nested this deeply");
}
