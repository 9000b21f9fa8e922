use {
    super::{AnswerStore, MAX_KEPT_BYTES},
    std::sync::Arc,
    whinlatch_wire::{
        ids::{AttemptId, Incarnation, Ticket},
        target::ServiceAnswer,
    },
};

fn ticket(number: u64) -> Ticket {
    Ticket {
        home: Incarnation(1),
        number,
    }
}

fn answer(bytes: usize) -> Arc<ServiceAnswer> {
    Arc::new(ServiceAnswer {
        attempt: AttemptId(1),
        status: 200,
        body: "x".repeat(bytes),
    })
}

#[test]
fn the_oldest_answers_go_when_there_are_too_many_bytes() {
    let store = AnswerStore::default();
    for number in 0..5 {
        store.keep(ticket(number), answer(MAX_KEPT_BYTES / 4));
    }

    assert_eq!(store.get(ticket(0)), None);
    assert_eq!(store.get(ticket(1)), None);
    assert!(store.get(ticket(4)).is_some());
}

#[test]
fn a_forgotten_answer_makes_room() {
    let store = AnswerStore::default();
    store.keep(ticket(0), answer(MAX_KEPT_BYTES / 2));
    store.keep(ticket(1), answer(MAX_KEPT_BYTES / 4));

    store.forget(ticket(0));
    store.keep(ticket(2), answer(MAX_KEPT_BYTES / 2));

    assert!(store.get(ticket(1)).is_some());
    assert!(store.get(ticket(2)).is_some());
}
