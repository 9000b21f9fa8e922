use {
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    whinlatch_wire::{ids::Ticket, target::ServiceAnswer},
};

/// Largest total size of the stored answers, in bytes.
const MAX_STORED_BYTES: usize = 64 * 1_048_576;

/// Stores complete answers of plain services by ticket, for callers that repeat a call. The oldest
/// answers are evicted when the total size exceeds the limit; the core keeps their outcomes.
#[derive(Debug, Default)]
pub struct AnswerStore {
    stored: Mutex<StoredAnswers>,
}

#[derive(Debug, Default)]
struct StoredAnswers {
    answers: BTreeMap<Ticket, Arc<ServiceAnswer>>,
    order: VecDeque<Ticket>,
    bytes: usize,
}

impl AnswerStore {
    /// Stores an answer and replaces an earlier one of the same ticket.
    pub fn insert(&self, ticket: Ticket, answer: Arc<ServiceAnswer>) {
        let mut stored = self.lock();
        stored.remove(ticket);
        stored.bytes += size_of_answer(&answer);
        stored.answers.insert(ticket, answer);
        stored.order.push_back(ticket);
        stored.evict_oldest();
    }

    /// Returns the answer of a ticket; `None` if there was none or it was evicted.
    pub fn get(&self, ticket: Ticket) -> Option<Arc<ServiceAnswer>> {
        self.lock().answers.get(&ticket).map(Arc::clone)
    }

    /// Removes the answer of a ticket.
    pub fn remove(&self, ticket: Ticket) {
        self.lock().remove(ticket);
    }

    fn lock(&self) -> MutexGuard<'_, StoredAnswers> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoredAnswers {
    fn remove(&mut self, ticket: Ticket) {
        if let Some(answer) = self.answers.remove(&ticket) {
            self.bytes -= size_of_answer(&answer);
            // Tickets are removed in about the order of insertion, so this search ends early.
            if let Some(index) = self.order.iter().position(|stored| *stored == ticket) {
                self.order.remove(index);
            }
        }
    }

    fn evict_oldest(&mut self) {
        while self.bytes > MAX_STORED_BYTES
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
