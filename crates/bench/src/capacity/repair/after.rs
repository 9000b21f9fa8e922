//! Everything after a revision. Right only where one side holds a prefix of the history.

use {
    super::{flat, side::Side, transcript::Transcript},
    whinlatch_wire::peer::{PeerFrame, RecordPull},
};

/// Both sides ask for all records after the newest that they hold.
pub fn repair(a: &mut Side, b: &mut Side) -> Transcript {
    let mut transcript = Transcript::default();
    repair_within(&mut transcript, a, b);
    transcript
}

/// Both sides ask so, and find by groups of digests what is still missing.
pub fn repair_and_check(a: &mut Side, b: &mut Side, groups: usize) -> Transcript {
    let mut transcript = Transcript::default();
    repair_within(&mut transcript, a, b);
    if a == b {
        return transcript;
    }
    let rest = flat::repair_by_groups(a, b, groups);
    transcript.add(rest);
    transcript
}

fn repair_within(transcript: &mut Transcript, a: &mut Side, b: &mut Side) {
    let to_a = answer(transcript, a, b);
    let to_b = answer(transcript, b, a);
    transcript.legs = 2;
    a.merge(to_a.records);
    b.merge(to_b.records);
}

fn answer(transcript: &mut Transcript, asks: &Side, answers: &Side) -> PeerFrame {
    let after = asks.newest();
    let pull = transcript.pass(&PeerFrame {
        pull: Some(RecordPull {
            after: Some(after),
            ..RecordPull::default()
        }),
        ..PeerFrame::default()
    });
    let after = pull.pull.and_then(|pull| pull.after).unwrap_or_default();
    let records = transcript.compute(|| answers.after(after));
    transcript.pass(&PeerFrame {
        records,
        ..PeerFrame::default()
    })
}
