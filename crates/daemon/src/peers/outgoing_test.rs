use {
    super::encode_split,
    std::sync::Arc,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        peer::{PeerCodecError, PeerFrame, decode_frame},
        record::RecordEnvelope,
    },
};

fn record(number: u64, bytes: usize) -> RecordEnvelope {
    RecordEnvelope {
        key: RecordKey::new(&format!("routes/{number}")),
        revision: Revision(number),
        value: Some(Arc::from("x".repeat(bytes))),
    }
}

#[test]
fn records_that_exceed_one_frame_are_sent_in_several() {
    let records: Vec<RecordEnvelope> = (0..9).map(|number| record(number, 1_000_000)).collect();
    let frame = PeerFrame {
        records: records.clone(),
        pull_done: true,
        ..PeerFrame::default()
    };

    let sent: Vec<PeerFrame> = encode_split(frame)
        .unwrap()
        .iter()
        .map(|bytes| decode_frame(bytes).unwrap())
        .collect();

    let received: Vec<RecordEnvelope> = sent.iter().flat_map(|f| f.records.clone()).collect();
    let (last, others) = sent.split_last().unwrap();
    assert_eq!(received, records);
    assert!(last.pull_done && others.iter().all(|frame| !frame.pull_done));
}

#[test]
fn a_single_record_that_is_too_large_is_rejected() {
    let frame = PeerFrame {
        records: vec![record(1, 5_000_000)],
        ..PeerFrame::default()
    };

    let encoded = encode_split(frame);

    assert!(matches!(encoded, Err(PeerCodecError::TooLarge { .. })));
}
