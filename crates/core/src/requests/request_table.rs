use {
    super::{AttemptEnd, Flight, Phase, Request},
    crate::time::MonoMs,
    std::collections::{BTreeSet, HashMap},
    whinlatch_wire::ids::{AttemptId, RequestId, TargetName},
};

/// The requests that this daemon answers for.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_id: HashMap<RequestId, Request>,
    by_attempt: HashMap<AttemptId, RequestId>,
    by_deadline: BTreeSet<(MonoMs, RequestId)>,
    held: BTreeSet<RequestId>,
}

impl RequestTable {
    /// Takes in a request.
    pub fn insert(&mut self, request: Request) {
        let id = request.submission.request;
        self.by_deadline.insert((request.deadline, id));
        self.by_id.insert(id, request);
    }

    /// A request by id.
    pub fn get(&self, request: RequestId) -> Option<&Request> {
        self.by_id.get(&request)
    }

    /// The request of an attempt in flight; `None` for the late events of one that is over.
    pub fn of_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Marks a request as dispatched. This comes before the first byte is written, so that
    /// `not_run` is never said of a request whose bytes may be on their way. Returns `false`, and
    /// changes nothing, if no attempt may be dispatched.
    pub fn dispatched(&mut self, request: RequestId, flight: Flight) -> bool {
        let Some(entry) = self.by_id.get_mut(&request) else {
            return false;
        };
        if !entry.may_dispatch() {
            return false;
        }
        self.held.remove(&request);
        self.by_attempt.insert(flight.attempt, request);
        entry.begin(flight);
        true
    }

    /// Notes that the first chunk came.
    pub fn first_chunk(&mut self, request: RequestId) {
        if let Some(Phase::InFlight(flight)) = self.by_id.get_mut(&request).map(|e| &mut e.phase) {
            flight.first_chunk = true;
        }
    }

    /// Ends the attempt in flight.
    pub fn attempt_ended(&mut self, attempt: AttemptId, end: AttemptEnd) -> Option<Flight> {
        let request = self.by_attempt.remove(&attempt)?;
        self.by_id.get_mut(&request)?.end_attempt(end)
    }

    /// Keeps a queued request back until [`Self::held`] is routed again. Returns whether it was
    /// not kept back before.
    pub fn hold(&mut self, request: RequestId) -> bool {
        match self.by_id.get_mut(&request) {
            Some(entry) if matches!(entry.phase, Phase::Queued) => {
                entry.phase = Phase::Held;
                self.held.insert(request)
            }
            _ => false,
        }
    }

    /// Requests that are kept back, in a fixed order.
    pub fn held(&self) -> Vec<RequestId> {
        self.held.iter().copied().collect()
    }

    /// Lets a request wait for the one that runs under its ticket.
    pub fn attach(&mut self, mut request: Request) {
        request.phase = Phase::Attached;
        self.insert(request);
    }

    /// Lets a request wait for the answer of its ticket's home.
    pub fn forward(&mut self, mut request: Request) {
        request.phase = Phase::Forwarded;
        self.insert(request);
    }

    /// Notes that the caller went away though the request goes on.
    pub fn caller_gone(&mut self, request: RequestId) {
        if let Some(entry) = self.by_id.get_mut(&request) {
            entry.caller_gone = true;
        }
    }

    /// Ends a request.
    pub fn remove(&mut self, request: RequestId) -> Option<Request> {
        let entry = self.by_id.remove(&request)?;
        self.by_deadline.remove(&(entry.deadline, request));
        self.held.remove(&request);
        if let Some(flight) = entry.flight() {
            self.by_attempt.remove(&flight.attempt);
        }
        Some(entry)
    }

    /// Requests whose deadline has passed, earliest first.
    pub fn overdue(&self, now: MonoMs) -> Vec<RequestId> {
        self.by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, request)| *request)
            .collect()
    }

    /// The next deadline.
    pub fn next_deadline(&self) -> Option<MonoMs> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Requests with an attempt in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &Request> {
        self.by_attempt
            .values()
            .filter_map(|request| self.by_id.get(request))
    }

    /// Requests with an attempt in flight at a target.
    pub fn at_target(&self, target: &TargetName) -> impl Iterator<Item = &Request> {
        self.in_flight()
            .filter(move |entry| entry.flight().is_some_and(|f| f.target == *target))
    }

    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
