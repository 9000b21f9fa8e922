use {
    super::Instruction,
    async_channel::Sender,
    std::collections::HashMap,
    whinlatch_core::Dispatch,
    whinlatch_wire::{
        caller::Outcome,
        ids::{AttemptId, RequestId},
    },
};

/// Channel to the task of one request, and the attempts that were sent to it.
#[derive(Debug)]
struct RequestTask {
    instructions: Sender<Box<Instruction>>,
    attempts: Vec<AttemptId>,
}

/// The tasks of the requests in flight.
#[derive(Debug, Default)]
pub struct Requests {
    tasks: HashMap<RequestId, RequestTask>,
    attempts: HashMap<AttemptId, RequestId>,
}

impl Requests {
    /// Registers the channel to a request's task.
    pub fn insert(&mut self, request: RequestId, instructions: Sender<Box<Instruction>>) {
        let task = RequestTask {
            instructions,
            attempts: Vec::new(),
        };
        self.tasks.insert(request, task);
    }

    /// Instructs the request's task to send an attempt.
    pub fn dispatch(&mut self, dispatch: Box<Dispatch>) {
        let request = dispatch.request;
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.attempts.push(dispatch.attempt);
        self.attempts.insert(dispatch.attempt, request);
        self.instruct(request, Instruction::Dispatch(dispatch));
    }

    /// Instructs the request's task to abandon an attempt.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if let Some(request) = self.attempts.remove(&attempt) {
            self.instruct(request, Instruction::Abandon(attempt));
        }
    }

    /// Sends a request its final outcome and removes it.
    pub fn finish(&mut self, outcome: Outcome) {
        let request = outcome.request;
        self.finish_with(request, Instruction::Finish(outcome));
    }

    /// Sends a request its last instruction and removes it.
    pub fn finish_with(&mut self, request: RequestId, instruction: Instruction) {
        self.instruct(request, instruction);
        self.remove(request);
    }

    /// Removes a request and its attempts. Its task ends when the channel closes.
    pub fn remove(&mut self, request: RequestId) {
        let Some(task) = self.tasks.remove(&request) else {
            return;
        };
        for attempt in task.attempts {
            self.attempts.remove(&attempt);
        }
    }

    /// Sends a request's task an instruction without blocking the control thread. The request is
    /// removed if its task has ended, or if the queue is full; in the second case the task sees
    /// its channel close and answers `unknown`.
    pub fn instruct(&mut self, request: RequestId, instruction: Instruction) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        if task.instructions.try_send(Box::new(instruction)).is_err() {
            self.remove(request);
        }
    }
}
