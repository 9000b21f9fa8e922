use {
    super::{Group, GroupState, RESERVE_WITHIN_MS},
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::ids::{AttemptId, RequestId},
};

/// What is due for a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueGroup {
    /// It is tried again.
    Try(RequestId),
    /// An engine didn't answer in time.
    Unanswered(RequestId),
    /// Its holds are renewed.
    Renew(RequestId),
}

/// The groups of this daemon's requests.
#[derive(Debug, Default)]
pub struct Groups {
    by_request: BTreeMap<RequestId, Group>,
    by_reservation: HashMap<AttemptId, RequestId>,
}

impl Groups {
    /// The group of a request.
    pub fn get(&self, request: RequestId) -> Option<&Group> {
        self.by_request.get(&request)
    }

    /// The group of a request, to change.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Group> {
        self.by_request.get_mut(&request)
    }

    /// The request of a reservation that is or may be held.
    pub fn of_reservation(&self, reservation: AttemptId) -> Option<RequestId> {
        self.by_reservation.get(&reservation).copied()
    }

    /// Takes in a group, or its new state.
    pub fn insert(&mut self, request: RequestId, group: Group) {
        for part in &group.parts {
            self.by_reservation.insert(part.reservation, request);
        }
        self.by_request.insert(request, group);
    }

    /// Takes a group out; what it holds must be given back.
    #[must_use = "its parts are held until they are released"]
    pub fn remove(&mut self, request: RequestId) -> Option<Group> {
        let group = self.by_request.remove(&request)?;
        for part in &group.parts {
            self.by_reservation.remove(&part.reservation);
        }
        Some(group)
    }

    /// What is due now.
    pub fn due(&self, now: MonoMs) -> Vec<DueGroup> {
        self.by_request
            .iter()
            .filter_map(|(request, group)| match group.state {
                GroupState::Waiting { due } if due <= now => Some(DueGroup::Try(*request)),
                GroupState::Acquiring { asked, .. } if now.since(asked) > RESERVE_WITHIN_MS => {
                    Some(DueGroup::Unanswered(*request))
                }
                GroupState::Held { renew } if renew <= now => Some(DueGroup::Renew(*request)),
                _ => None,
            })
            .collect()
    }
}
