use {
    super::{Group, GroupState, RESERVE_TIMEOUT_MS},
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::ids::{AttemptId, RequestId},
};

/// Step that is due for the group of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueGroup {
    /// Choose and reserve engines again.
    Retry(RequestId),
    /// Release the group: an engine didn't answer in time.
    Unanswered(RequestId),
    /// Renew its reservations.
    Renew(RequestId),
}

/// Groups of engines of this daemon's requests.
#[derive(Debug, Default)]
pub struct Groups {
    by_request: BTreeMap<RequestId, Group>,
    by_reservation: HashMap<AttemptId, RequestId>,
}

impl Groups {
    /// Returns the group of a request; `None` if it has none.
    pub fn get(&self, request: RequestId) -> Option<&Group> {
        self.by_request.get(&request)
    }

    /// Returns the group of a request, to update its state. New parts need [`Self::insert`].
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Group> {
        self.by_request.get_mut(&request)
    }

    /// Returns the request of a reservation; `None` if its group has been released.
    pub fn of_reservation(&self, reservation: AttemptId) -> Option<RequestId> {
        self.by_reservation.get(&reservation).copied()
    }

    /// Adds or replaces the group of a request and indexes its reservations.
    pub fn insert(&mut self, request: RequestId, group: Group) {
        for part in &group.parts {
            self.by_reservation.insert(part.reservation, request);
        }
        self.by_request.insert(request, group);
    }

    /// Removes a group. The caller must release its reserved parts.
    #[must_use = "its parts stay reserved until they are released"]
    pub fn remove(&mut self, request: RequestId) -> Option<Group> {
        let group = self.by_request.remove(&request)?;
        for part in &group.parts {
            self.by_reservation.remove(&part.reservation);
        }
        Some(group)
    }

    /// Returns the steps that are due, ordered by request id.
    pub fn due(&self, now: MonoMs) -> Vec<DueGroup> {
        self.by_request
            .iter()
            .filter_map(|(request, group)| match group.state {
                GroupState::Waiting { retry_at } if retry_at <= now => {
                    Some(DueGroup::Retry(*request))
                }
                GroupState::Acquiring { requested_at, .. }
                    if now.since(requested_at) > RESERVE_TIMEOUT_MS =>
                {
                    Some(DueGroup::Unanswered(*request))
                }
                GroupState::Reserved { renew_at } if renew_at <= now => {
                    Some(DueGroup::Renew(*request))
                }
                _ => None,
            })
            .collect()
    }
}
