use {
    super::{Instruction, links::OpenLinks, requests::Requests},
    crate::{logs::DecisionLog, peers, platform, shared::Shared, targets},
    async_std::task,
    std::sync::Arc,
    whinlatch_core::Action,
};

/// Executes the core's actions without blocking: slow ones are spawned as tasks.
#[derive(Debug)]
pub struct ActionExecutor {
    pub shared: Arc<Shared>,
    pub requests: Requests,
    pub links: OpenLinks,
    pub log: DecisionLog,
    pub stopped: bool,
}

impl ActionExecutor {
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.requests.dispatch(dispatch),
            Action::Finish(outcome) => self.requests.finish(outcome),
            Action::Forward { request, to, .. } => {
                self.requests.instruct(request, Instruction::Forward { to });
            }
            Action::Replay {
                request,
                ticket,
                outcome,
            } => self
                .requests
                .finish_with(request, Instruction::Replay { ticket, outcome }),
            Action::ForgetAnswer { ticket } => self.shared.answers.remove(ticket),
            Action::Abandon { attempt } => self.requests.abandon(attempt),
            Action::Call {
                target,
                address,
                call,
            } => {
                let shared = Arc::clone(&self.shared);
                task::spawn(targets::call(shared, target, address, call));
            }
            Action::Send { to, frame } => self.links.send(to, *frame),
            Action::Link { address } => {
                task::spawn(peers::open_link(Arc::clone(&self.shared), address));
            }
            Action::Unlink { peer } => self.links.remove(peer),
            Action::ReadRecords { after, wait_ms } => {
                let shared = Arc::clone(&self.shared);
                task::spawn(platform::read_records(shared, after, wait_ms));
            }
            Action::ReadInstances => {
                task::spawn(platform::read_instances(Arc::clone(&self.shared)));
            }
            Action::Decided(decision) => self.log.write(decision),
            Action::Stopped => self.stopped = true,
        }
    }
}
