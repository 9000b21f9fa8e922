use {
    crate::{
        event::{Submission, Work},
        records::InForce,
    },
    thiserror::Error,
    whinlatch_wire::{
        caller::Reason,
        ids::RecordKey,
        record::{RouteRecord, RouteSubject},
    },
};

/// Why a request is refused before it is looked at further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refused {
    /// The account or its key is wrong.
    #[error("the account is not known or the key is wrong: check both")]
    Unauthorized,
    /// No record names the model or service.
    #[error("no record names this model or service: check its name")]
    Unknown,
    /// No route is for this account and caller.
    #[error("no record lets this account and caller use it: ask the operators for a route")]
    NotAllowed,
}

impl Refused {
    /// The reason that the caller gets.
    pub fn reason(self) -> Reason {
        match self {
            Self::Unauthorized => Reason::Unauthorized,
            Self::Unknown => Reason::UnknownModel,
            Self::NotAllowed => Reason::NotAllowed,
        }
    }
}

/// Finds the route that allows a request.
///
/// # Errors
/// [`Refused`] if account, key, caller or route don't allow it.
pub fn authorize<'a>(
    in_force: &'a InForce,
    submission: &Submission,
) -> Result<(&'a RecordKey, &'a RouteRecord), Refused> {
    let account = in_force
        .account(&submission.account)
        .ok_or(Refused::Unauthorized)?;
    if !account.key_sha256.contains(&submission.key_sha256) {
        return Err(Refused::Unauthorized);
    }
    let caller = submission.caller.as_ref();
    let listed = caller.is_some_and(|caller| account.callers.contains(caller));
    if !account.callers.is_empty() && !listed {
        return Err(Refused::NotAllowed);
    }
    let (route, known) = match &submission.work {
        Work::Prompt { model, adapter, .. } => (
            in_force.model_route(model, adapter.as_ref(), &submission.account, caller),
            in_force.knows_model(model),
        ),
        Work::Call { service } => (
            in_force.service_route(service, &submission.account, caller),
            in_force.knows_service(service),
        ),
    };
    match route {
        Some(route) => Ok(route),
        None if known => Err(Refused::NotAllowed),
        None => Err(Refused::Unknown),
    }
}

/// Whether the work of a route may be run more than once.
pub fn is_idempotent(route: &RouteRecord) -> bool {
    match &route.subject {
        RouteSubject::Model { .. } => true,
        RouteSubject::Service { idempotent, .. } => *idempotent,
    }
}
