use {
    super::{OpenLink, OpenLinks},
    crate::control::LinkId,
    whinlatch_core::MonoMs,
    whinlatch_wire::ids::Incarnation,
};

const LOW: Incarnation = Incarnation(1);
const HIGH: Incarnation = Incarnation(2);

fn link(id: u64, opened_by: Incarnation, opened_at_ms: u64) -> OpenLink {
    let (frames, queue) = async_channel::bounded(1);
    // Keeps the channel open, as the link's task does.
    std::mem::forget(queue);
    OpenLink {
        id: LinkId(id),
        opened_by,
        opened_at: MonoMs(opened_at_ms),
        frames,
    }
}

// Guards against two daemons that stay without a link for seconds after both start: they open links
// to each other at the same time, see them in different orders, and each closes the earlier one.
#[test]
fn both_sides_keep_the_same_of_two_simultaneous_links() {
    for peer in [LOW, HIGH] {
        let mut one_order = OpenLinks::default();
        let mut other_order = OpenLinks::default();

        one_order.insert(peer, link(1, LOW, 100));
        one_order.insert(peer, link(2, HIGH, 110));
        other_order.insert(peer, link(2, HIGH, 100));
        other_order.insert(peer, link(1, LOW, 110));

        assert!(one_order.is_current(peer, LinkId(1)));
        assert!(other_order.is_current(peer, LinkId(1)));
    }
}

#[test]
fn a_later_link_replaces_one_that_may_be_silent() {
    let mut links = OpenLinks::default();
    links.insert(HIGH, link(1, LOW, 100));

    let opened_by_peer = links.insert(HIGH, link(2, HIGH, 5_000));
    let opened_again = links.insert(HIGH, link(3, HIGH, 5_010));

    assert!(opened_by_peer && opened_again);
    assert!(links.is_current(HIGH, LinkId(3)));
}
