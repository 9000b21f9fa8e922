use {
    super::{Group, GroupState, RESERVE_WITHIN_MS},
    crate::time::MonoMs,
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::ids::{AttemptId, RequestId},
};

/// Longest time before a group is tried again, in ms, doubled with each try up to the cap.
const BACK_OFF_MS: u64 = 100;
/// Cap of that time, in ms.
const MAX_BACK_OFF_MS: u64 = 800;

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

    /// Begins to acquire a group.
    pub fn begin(&mut self, request: RequestId, group: Group) {
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

    /// Puts a request's group off, with jitter so that daemons that collided don't do so again.
    pub fn back_off(
        &mut self,
        now: MonoMs,
        request: RequestId,
        tries: u32,
        rng: &mut fastrand::Rng,
    ) {
        let full_ms = (BACK_OFF_MS << tries.min(8)).min(MAX_BACK_OFF_MS);
        let due = now + rng.u64(full_ms / 4..=full_ms);
        self.by_request
            .insert(request, Group::put_off(due, tries + 1));
    }

    /// What is due now.
    pub fn due(&self, now: MonoMs) -> Vec<DueGroup> {
        self.by_request
            .iter()
            .filter_map(|(request, group)| match group.state {
                GroupState::BackingOff { due } if due <= now => Some(DueGroup::Try(*request)),
                GroupState::Acquiring { asked, .. } if now.since(asked) > RESERVE_WITHIN_MS => {
                    Some(DueGroup::Unanswered(*request))
                }
                GroupState::Held { renew } if renew <= now => Some(DueGroup::Renew(*request)),
                _ => None,
            })
            .collect()
    }
}
