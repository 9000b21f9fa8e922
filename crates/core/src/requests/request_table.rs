use {
    super::{AttemptEnd, InFlightAttempt, Phase, Request},
    crate::time::MonoMs,
    std::collections::{BTreeSet, HashMap},
    whinlatch_wire::ids::{AttemptId, RequestId, TargetName},
};

/// Requests accepted by this daemon that have no final answer yet.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_id: HashMap<RequestId, Request>,
    by_attempt: HashMap<AttemptId, RequestId>,
    by_deadline: BTreeSet<(MonoMs, RequestId)>,
    held: BTreeSet<RequestId>,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, request: Request) {
        let id = request.submission.request;
        self.by_deadline.insert((request.deadline, id));
        self.by_id.insert(id, request);
    }

    /// Returns a request; `None` once it has ended.
    pub fn get(&self, request: RequestId) -> Option<&Request> {
        self.by_id.get(&request)
    }

    /// Returns the request of an attempt in flight; `None` once the attempt has ended, as for its late
    /// events.
    pub fn of_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Marks a request as dispatched. Called before the first byte is written, so that `not_run` is
    /// never reported for a request whose bytes may already be under way. Returns `false`, and changes
    /// nothing, if no attempt may be dispatched.
    pub fn mark_dispatched(&mut self, request: RequestId, in_flight: InFlightAttempt) -> bool {
        let Some(entry) = self.by_id.get_mut(&request) else {
            return false;
        };
        if !entry.may_dispatch() {
            return false;
        }
        self.held.remove(&request);
        self.by_attempt.insert(in_flight.attempt, request);
        entry.begin(in_flight);
        true
    }

    /// Records that the first chunk of the answer arrived.
    pub fn mark_first_chunk(&mut self, request: RequestId) {
        if let Some(Phase::InFlight(in_flight)) = self.by_id.get_mut(&request).map(|e| &mut e.phase)
        {
            in_flight.first_chunk = true;
        }
    }

    /// Ends the attempt in flight and queues its request. Returns `None` if the attempt isn't in flight.
    pub fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) -> Option<InFlightAttempt> {
        let request = self.by_attempt.remove(&attempt)?;
        self.by_id.get_mut(&request)?.end_attempt(end)
    }

    /// Holds a queued request until the requests of [`Self::held`] are routed again. Returns whether it
    /// wasn't held before.
    pub fn hold(&mut self, request: RequestId) -> bool {
        match self.by_id.get_mut(&request) {
            Some(entry) if matches!(entry.phase, Phase::Queued) => {
                entry.phase = Phase::Held;
                self.held.insert(request)
            }
            _ => false,
        }
    }

    /// Returns the held requests, ordered by id.
    pub fn held(&self) -> Vec<RequestId> {
        self.held.iter().copied().collect()
    }

    /// Adds a request that waits for the one running under its ticket.
    pub fn attach(&mut self, mut request: Request) {
        request.phase = Phase::Attached;
        self.insert(request);
    }

    /// Adds a request that waits for the answer of the daemon that issued its ticket.
    pub fn forward(&mut self, mut request: Request) {
        request.phase = Phase::Forwarded;
        self.insert(request);
    }

    /// Records that the caller disconnected although the request goes on.
    pub fn mark_caller_gone(&mut self, request: RequestId) {
        if let Some(entry) = self.by_id.get_mut(&request) {
            entry.caller_gone = true;
        }
    }

    /// Removes a request that ends, along with its attempt in flight.
    pub fn remove(&mut self, request: RequestId) -> Option<Request> {
        let entry = self.by_id.remove(&request)?;
        self.by_deadline.remove(&(entry.deadline, request));
        self.held.remove(&request);
        if let Some(in_flight) = entry.in_flight_attempt() {
            self.by_attempt.remove(&in_flight.attempt);
        }
        Some(entry)
    }

    /// Returns the requests whose deadline has passed, earliest first.
    pub fn past_deadline(&self, now: MonoMs) -> Vec<RequestId> {
        self.by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, request)| *request)
            .collect()
    }

    /// Returns the earliest deadline of all requests; `None` if there are none.
    pub fn next_deadline(&self) -> Option<MonoMs> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the requests with an attempt in flight, in no particular order.
    pub fn in_flight(&self) -> impl Iterator<Item = &Request> {
        self.by_attempt
            .values()
            .filter_map(|request| self.by_id.get(request))
    }

    /// Returns the requests with an attempt in flight at a target, in no particular order.
    pub fn at_target(&self, target: &TargetName) -> impl Iterator<Item = &Request> {
        self.in_flight().filter(move |entry| {
            entry
                .in_flight_attempt()
                .is_some_and(|f| f.target == *target)
        })
    }

    /// Returns all requests, the one with the earliest deadline first.
    pub fn ids(&self) -> Vec<RequestId> {
        self.by_deadline
            .iter()
            .map(|(_, request)| *request)
            .collect()
    }

    /// Returns the number of requests, in all phases.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the table holds no requests, so that the daemon may stop.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
