use {
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    whinlatch_wire::{ids::Ticket, target::ServiceAnswer},
};

/// Bytes of answers that are kept in all.
const MAX_KEPT_BYTES: usize = 64 * 1_048_576;

/// Whole answers of plain services, kept under their tickets for callers that ask again. The
/// oldest go when there are too many bytes; the outcome is kept by the core all the same.
#[derive(Debug, Default)]
pub struct AnswerStore {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    answers: BTreeMap<Ticket, Arc<ServiceAnswer>>,
    order: VecDeque<Ticket>,
    bytes: usize,
}

impl AnswerStore {
    /// Keeps an answer.
    pub fn keep(&self, ticket: Ticket, answer: Arc<ServiceAnswer>) {
        let mut kept = self.lock();
        kept.remove(ticket);
        kept.bytes += size_of_answer(&answer);
        kept.answers.insert(ticket, answer);
        kept.order.push_back(ticket);
        kept.shrink();
    }

    /// The answer of a ticket, if it is kept.
    pub fn get(&self, ticket: Ticket) -> Option<Arc<ServiceAnswer>> {
        self.lock().answers.get(&ticket).map(Arc::clone)
    }

    /// Drops an answer.
    pub fn forget(&self, ticket: Ticket) {
        self.lock().remove(ticket);
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn remove(&mut self, ticket: Ticket) {
        if let Some(answer) = self.answers.remove(&ticket) {
            self.bytes -= size_of_answer(&answer);
            // Tickets are forgotten about in the order in which they came, so this ends early.
            if let Some(place) = self.order.iter().position(|kept| *kept == ticket) {
                self.order.remove(place);
            }
        }
    }

    fn shrink(&mut self) {
        while self.bytes > MAX_KEPT_BYTES
            && let Some(oldest) = self.order.front().copied()
        {
            self.remove(oldest);
        }
    }
}

fn size_of_answer(answer: &ServiceAnswer) -> usize {
    size_of::<ServiceAnswer>() + answer.body.len()
}

#[cfg(test)]
#[path = "answer_store_test.rs"]
mod tests;
