use {
    super::{AnswerStore, MAX_STORED_BYTES},
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
fn the_oldest_answers_are_evicted_over_the_size_limit() {
    let store = AnswerStore::default();
    for number in 0..5 {
        store.insert(ticket(number), answer(MAX_STORED_BYTES / 4));
    }

    assert_eq!(store.get(ticket(0)), None);
    assert_eq!(store.get(ticket(1)), None);
    assert!(store.get(ticket(4)).is_some());
}

#[test]
fn a_removed_answer_frees_space() {
    let store = AnswerStore::default();
    store.insert(ticket(0), answer(MAX_STORED_BYTES / 2));
    store.insert(ticket(1), answer(MAX_STORED_BYTES / 4));

    store.remove(ticket(0));
    store.insert(ticket(2), answer(MAX_STORED_BYTES / 2));

    assert!(store.get(ticket(1)).is_some());
    assert!(store.get(ticket(2)).is_some());
}
