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

/// The task of one request.
#[derive(Debug)]
struct Task {
    instructions: Sender<Box<Instruction>>,
    attempts: Vec<AttemptId>,
}

/// The tasks of the requests in flight.
#[derive(Debug, Default)]
pub struct Requests {
    tasks: HashMap<RequestId, Task>,
    attempts: HashMap<AttemptId, RequestId>,
}

impl Requests {
    /// Notes where the instructions of a request go.
    pub fn insert(&mut self, request: RequestId, instructions: Sender<Box<Instruction>>) {
        let task = Task {
            instructions,
            attempts: Vec::new(),
        };
        self.tasks.insert(request, task);
    }

    /// Hands an attempt to the request's task.
    pub fn dispatch(&mut self, dispatch: Box<Dispatch>) {
        let request = dispatch.request;
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.attempts.push(dispatch.attempt);
        self.attempts.insert(dispatch.attempt, request);
        self.instruct(request, Instruction::Dispatch(dispatch));
    }

    /// Has an attempt given up.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if let Some(request) = self.attempts.remove(&attempt) {
            self.instruct(request, Instruction::Abandon(attempt));
        }
    }

    /// Ends a request with its final answer.
    pub fn finish(&mut self, outcome: Outcome) {
        let request = outcome.request;
        self.hand_over(request, Instruction::Finish(outcome));
    }

    /// Gives a request its last instruction.
    pub fn hand_over(&mut self, request: RequestId, instruction: Instruction) {
        self.instruct(request, instruction);
        self.forget(request);
    }

    /// Forgets a request.
    pub fn forget(&mut self, request: RequestId) {
        let Some(task) = self.tasks.remove(&request) else {
            return;
        };
        for attempt in task.attempts {
            self.attempts.remove(&attempt);
        }
    }

    /// Gives a request an instruction. The control thread never waits for
    /// traffic: a task that is gone has dropped its receiver, and one whose queue were full would
    /// lose its sender and answer `unknown`.
    pub fn instruct(&mut self, request: RequestId, instruction: Instruction) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        if task.instructions.try_send(Box::new(instruction)).is_err() {
            self.forget(request);
        }
    }
}
