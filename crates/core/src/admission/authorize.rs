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

/// Reason for which a request is refused at admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The account is unknown, or the key isn't one of its keys.
    #[error("the account is not known or the key is wrong: check both")]
    Unauthorized,
    /// No record names the model or service.
    #[error("no record names this model or service: check its name")]
    Unknown,
    /// The account doesn't list the caller, or no route allows both.
    #[error("no route allows this account and caller: ask the operators for one")]
    NotAllowed,
}

impl AdmissionError {
    /// Returns the reason code that the caller receives.
    pub fn reason(self) -> Reason {
        match self {
            Self::Unauthorized => Reason::Unauthorized,
            Self::Unknown => Reason::UnknownModel,
            Self::NotAllowed => Reason::NotAllowed,
        }
    }
}

/// Authenticates a request and returns the key and body of the route that allows it.
///
/// # Errors
/// [`AdmissionError`] if the account, its key, the caller or the routes don't allow the request.
pub fn authorize<'a>(
    in_force: &'a InForce,
    submission: &Submission,
) -> Result<(&'a RecordKey, &'a RouteRecord), AdmissionError> {
    let account = in_force
        .account(&submission.account)
        .ok_or(AdmissionError::Unauthorized)?;
    if !account.key_sha256.contains(&submission.key_sha256) {
        return Err(AdmissionError::Unauthorized);
    }
    let caller = submission.caller.as_ref();
    let listed = caller.is_some_and(|caller| account.callers.contains(caller));
    if !account.callers.is_empty() && !listed {
        return Err(AdmissionError::NotAllowed);
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
        None if known => Err(AdmissionError::NotAllowed),
        None => Err(AdmissionError::Unknown),
    }
}

/// Returns whether requests of a route may run more than once. Prompts always may.
pub fn is_idempotent(route: &RouteRecord) -> bool {
    match &route.subject {
        RouteSubject::Model { .. } => true,
        RouteSubject::Service { idempotent, .. } => *idempotent,
    }
}
