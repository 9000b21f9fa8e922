use {
    super::{OpenLink, OpenLinks},
    crate::control::LinkId,
    whinlatch_core::MonoMs,
    whinlatch_wire::ids::Incarnation,
};

const LOW: Incarnation = Incarnation(1);
const HIGH: Incarnation = Incarnation(2);

fn link(id: u64, opened_by: Incarnation, since_ms: u64) -> OpenLink {
    let (frames, queue) = async_channel::bounded(1);
    // Kept open, as by the task of a link.
    std::mem::forget(queue);
    OpenLink {
        id: LinkId(id),
        opened_by,
        since: MonoMs(since_ms),
        frames,
    }
}

// Two daemons are without a link for seconds after both came up, again and again.
// They open links to each other at the same moment, and each side sees the two in another order.
// Cause: each takes the later one for the better one and closes the other.
#[test]
fn both_sides_keep_the_same_of_two_links_that_cross() {
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
fn a_link_that_comes_later_takes_the_place_of_one_that_may_be_silent() {
    let mut links = OpenLinks::default();
    links.insert(HIGH, link(1, LOW, 100));

    let by_the_other_side = links.insert(HIGH, link(2, HIGH, 5_000));
    let by_the_same_side = links.insert(HIGH, link(3, HIGH, 5_010));

    assert!(by_the_other_side && by_the_same_side);
    assert!(links.is_current(HIGH, LinkId(3)));
}
