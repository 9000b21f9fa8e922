//! Repair by pulling all records after a revision. Complete only if the records of one replica are a
//! prefix of the history.

use {
    super::{buckets, exchange_cost::ExchangeCost, replica::Replica},
    whinlatch_wire::peer::{PeerFrame, RecordPull},
};

/// Each replica pulls all records after its newest revision.
pub fn repair(a: &mut Replica, b: &mut Replica) -> ExchangeCost {
    let mut cost = ExchangeCost::default();
    pull_both(&mut cost, a, b);
    cost
}

/// Each replica pulls all records after its newest revision. If they still differ, they compare digests of
/// groups of buckets.
pub fn repair_and_check(a: &mut Replica, b: &mut Replica, groups: usize) -> ExchangeCost {
    let mut cost = ExchangeCost::default();
    pull_both(&mut cost, a, b);
    if a == b {
        return cost;
    }
    let check = buckets::repair_by_groups(a, b, groups);
    cost.add(check);
    cost
}

/// Pulls in both directions before either replica merges what it received.
fn pull_both(cost: &mut ExchangeCost, a: &mut Replica, b: &mut Replica) {
    let to_a = pull(cost, a, b);
    let to_b = pull(cost, b, a);
    cost.legs = 2;
    a.merge(to_a.records);
    b.merge(to_b.records);
}

/// Exchanges the pull request of `receiver` and the response of `sender`.
fn pull(cost: &mut ExchangeCost, receiver: &Replica, sender: &Replica) -> PeerFrame {
    let after = receiver.newest_revision();
    let request = cost.transfer(&PeerFrame {
        pull: Some(RecordPull {
            after: Some(after),
            ..RecordPull::default()
        }),
        ..PeerFrame::default()
    });
    let after = request.pull.and_then(|pull| pull.after).unwrap_or_default();
    let records = cost.compute(|| sender.records_after(after));
    cost.transfer(&PeerFrame {
        records,
        ..PeerFrame::default()
    })
}
