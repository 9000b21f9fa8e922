use {
    super::{
        attempt::AttemptFault,
        decision_line::Decision,
        engine_life::EngineLife,
        engine_reports::fetch_report,
        entry_state::EntryState,
        memory_hold::MemoryHold,
        own_call::{Need, OwnCall, own_call},
    },
    crate::{clock::timeout, entropy::random_u64},
    async_std::task,
    futures::future::{join, join_all, pending},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::MonoMs,
    whinlatch_platform::{MemoryUse, ORDER_PATH, read_memory_use, release_body, reserve_body},
    whinlatch_serving::{PromptPlacement, targets::TargetEntry},
};

/// Time for which an order reserves memory, in ms. Memory must be free within four seconds of the end of
/// the prompt, also when this process dies without releasing it.
const HOLD_TTL_MS: u64 = 3_000;
/// Time between two renewals, in ms: two may fail before the reservation expires.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Time between two checks whether a renewal is due, in ms: an engine that asks for a pause tolerates
/// requests that arrive within half a second.
const RENEW_CHECK_INTERVAL_MS: u64 = 250;
/// Time by which a reservation outlasts an engine's pause, in ms, so that it can be renewed after the pause.
const PAUSE_MARGIN_MS: u64 = 1_000;
/// Age from which the engine's report is checked for use of the memory, in ms: most prompts are being worked on
/// by then.
const USE_CHECK_AFTER_MS: u64 = 4_500;
/// Age at which an attempt that doesn't use its memory fails, in ms. No memory may stay reserved without use
/// for nine seconds, and an order and a report may each take their whole timeout before that.
const UNUSED_TIMEOUT_MS: u64 = 6_500;
/// Age at which reservations expire that aren't known to be used, in ms: engines count from the arrival of an order.
const UNUSED_TTL_MS: u64 = 8_500;
/// Timeout for the answer to an order, in ms.
const ORDER_TIMEOUT_MS: u64 = 400;
/// Tokens reserved at the answering engine: one block of its memory. The size doesn't matter, only
/// that a reservation exists.
const OWN_TOKENS: u64 = 16;
/// Status of an order that was executed.
const ORDER_EXECUTED: u16 = 200;

/// Memory reserved at engines for one prompt: all that it needs or none. It is renewed while
/// [`Self::renew_while_used`] runs and released on drop, also when the request is cancelled.
#[derive(Debug)]
pub struct Reservations<'a> {
    state: &'a Arc<EntryState>,
    id: String,
    helpers: Vec<MemoryHold>,
    own: Option<MemoryHold>,
}

/// What is known of the use of reserved memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownUse {
    /// It is too early to check, or the engine doesn't list the reservation.
    Unchecked,
    /// The last check showed no use, or had no answer.
    Unconfirmed,
    /// The prompt uses it.
    Confirmed,
}

impl<'a> Reservations<'a> {
    /// Reserves the memory that a prompt needs.
    ///
    /// # Errors
    /// [`AttemptFault::NoMemory`] if a helper doesn't grant it; what was reserved is released.
    pub async fn reserve(
        state: &'a Arc<EntryState>,
        placement: &PromptPlacement,
    ) -> Result<Self, AttemptFault> {
        let mut reservations = Self::planned(state, placement);
        let own = reservations.own.iter();
        let helpers = reservations.helpers.iter();
        let (own, helpers) = join(
            reservations.order_all(own, None),
            reservations.order_all(helpers, None),
        )
        .await;
        helpers.map_err(AttemptFault::NoMemory)?;
        if let Err(fault) = own {
            // Not fatal: the prompt only loses its place in the answering engine's reading order.
            reservations.log_fault("isn't reserved at the answering engine", &fault);
            reservations.release_holds(reservations.own.iter());
            reservations.own = None;
        }
        Ok(reservations)
    }

    /// Lists the memory that a placement needs; nothing is ordered yet.
    fn planned(state: &'a Arc<EntryState>, placement: &PromptPlacement) -> Self {
        let count = placement.reserved.map_or(0, |reserved| reserved.engines);
        let tokens = placement.reserved.map_or(0, |reserved| reserved.tokens);
        let helpers = placement.helpers.iter().take(count);
        let own = placement
            .is_prioritized
            .then(|| MemoryHold::new(&placement.engine, OWN_TOKENS));
        Self {
            state,
            id: format!("w{:016x}", random_u64()),
            helpers: helpers
                .map(|engine| MemoryHold::new(engine, tokens))
                .collect(),
            own,
        }
    }

    /// Returns whether memory is reserved at any engine that hasn't restarted since.
    pub fn holds_memory(&self) -> bool {
        self.live_holds().next().is_some()
    }

    /// Returns the helpers for the request's header, in the order in which they are filled: `ADDRESS/ID`
    /// where memory is reserved, the bare address elsewhere. The answering engine comes first if it has a
    /// reservation.
    pub fn entries(&self, helpers: &[TargetEntry]) -> Vec<String> {
        let reserved = |address: SocketAddr| format!("{address}/{}", self.id);
        let own = self.own.iter().map(|hold| reserved(hold.engine.address));
        let helpers = helpers.iter().enumerate().map(|(index, helper)| {
            if index < self.helpers.len() {
                reserved(helper.address)
            } else {
                helper.address.to_string()
            }
        });
        own.chain(helpers).collect()
    }

    /// Renews the reservations while the answering engine shows life: after its death they expire. Completes with
    /// [`AttemptFault::Idle`] once the engine reports that the prompt doesn't use them. A failed renewal, or a report
    /// that isn't answered, doesn't end the attempt: the engine may still serve the prompt, or end it itself.
    ///
    /// Guards against an engine that accepts requests and executes orders but works on no request, or that has lost
    /// power: the memory would stay reserved for as long as the caller waits.
    pub async fn renew_while_used(&self, life: &EngineLife<'_>) -> AttemptFault {
        if !self.holds_memory() {
            return pending().await;
        }
        let began = self.state.now();
        let mut checked_at = began;
        let mut known_use = KnownUse::Unchecked;
        loop {
            self.state.clock.sleep(RENEW_CHECK_INTERVAL_MS).await;
            let is_unconfirmed = known_use == KnownUse::Unconfirmed;
            self.renew(life, is_unconfirmed.then_some(began + UNUSED_TTL_MS))
                .await;
            let now = self.state.now();
            let age_ms = now.since(began);
            let is_check_due = now.since(checked_at) >= RENEW_INTERVAL_MS;
            let is_confirmed = known_use == KnownUse::Confirmed;
            if age_ms < USE_CHECK_AFTER_MS || is_confirmed || !is_check_due {
                continue;
            }
            checked_at = now;
            known_use = match self.memory_use().await {
                Some(MemoryUse::Used) => KnownUse::Confirmed,
                // An engine that doesn't know the reservation holds no memory for it.
                Some(MemoryUse::Unknown) => KnownUse::Unchecked,
                Some(MemoryUse::Unused) if age_ms >= UNUSED_TIMEOUT_MS => {
                    return AttemptFault::Idle;
                }
                Some(MemoryUse::Unused) | None => KnownUse::Unconfirmed,
            };
        }
    }

    /// Renews the reservations that are due, if the answering engine shows life, until `expires_by` at most.
    async fn renew(&self, life: &EngineLife<'_>, expires_by: Option<MonoMs>) {
        let now = self.state.now();
        let is_due = |hold: &&MemoryHold| self.is_renewal_due(now, hold);
        if self.live_holds().find(is_due).is_none() || !life.shows_life().await {
            return;
        }
        let due = self.live_holds().filter(is_due);
        if let Err(fault) = self.order_all(due, expires_by).await {
            self.log_fault("isn't renewed", &fault);
        }
    }

    /// Returns whether a renewal is due. An engine that asked for a pause gets one during it only if the
    /// reservation would expire before the pause ends.
    fn is_renewal_due(&self, now: MonoMs, hold: &MemoryHold) -> bool {
        match self.paused_until(now, hold) {
            Some(until) => hold.expires_at() <= until,
            None => hold.age_ms(now) >= RENEW_INTERVAL_MS,
        }
    }

    fn paused_until(&self, now: MonoMs, hold: &MemoryHold) -> Option<MonoMs> {
        self.state.serving().paused_until(now, &hold.engine.id)
    }

    /// Asks the first engine with a reservation whether it is used; `None` if it doesn't answer or the answer
    /// can't be read.
    async fn memory_use(&self) -> Option<MemoryUse> {
        let now = self.state.now();
        let mut live_holds = self.live_holds().peekable();
        live_holds.peek()?;
        let Some(hold) = live_holds.find(|hold| self.paused_until(now, hold).is_none()) else {
            // All asked for a pause, so the use can't be checked now.
            return Some(MemoryUse::Unknown);
        };
        let body = fetch_report(self.state, &hold.engine, Need::Required).await?;
        match read_memory_use(&body, &self.id) {
            Ok(memory_use) => Some(memory_use),
            Err(fault) => {
                self.log_fault("can't be checked for use", &fault.to_string());
                None
            }
        }
    }

    /// Returns the reservations at engines that haven't restarted since. A restarted engine has none, and a
    /// renewal would reserve memory for a prompt that it doesn't know.
    fn live_holds(&self) -> impl Iterator<Item = &MemoryHold> {
        let all = self.own.iter().chain(&self.helpers);
        all.filter(|hold| !self.state.serving().has_restarted(&hold.engine))
    }

    fn log_fault(&self, what: &str, fault: &str) {
        self.state.log(&Decision::Fault {
            part: "reservations",
            fault: format!("{} {what}: {fault}", self.id),
        });
    }

    /// Orders some engines to reserve memory or to extend the reservation, until `expires_by` at most.
    async fn order_all(
        &self,
        holds: impl Iterator<Item = &MemoryHold>,
        expires_by: Option<MonoMs>,
    ) -> Result<(), String> {
        let orders = holds.map(|hold| self.order(hold, expires_by));
        let answers: Result<Vec<()>, String> = join_all(orders).await.into_iter().collect();
        answers.map(|_done| ())
    }

    async fn order(&self, hold: &MemoryHold, expires_by: Option<MonoMs>) -> Result<(), String> {
        let now = self.state.now();
        let pause_ms = self
            .paused_until(now, hold)
            .map_or(0, |until| until.since(now) + PAUSE_MARGIN_MS);
        let max_ms = self.state.settings.max_reservation_ms;
        let left_ms = expires_by.map_or(max_ms, |by| by.since(now));
        let hold_ms = HOLD_TTL_MS.max(pause_ms).min(max_ms).min(left_ms);
        if hold_ms == 0 {
            return Ok(());
        }
        hold.record_order(now, hold_ms);
        let body =
            reserve_body(&self.id, hold.tokens, hold_ms).map_err(|fault| fault.to_string())?;
        match order(self.state, &hold.engine, &body).await? {
            ORDER_EXECUTED => Ok(()),
            status => Err(format!("{} answers {status}", hold.engine.id)),
        }
    }

    fn release_holds<'h>(&self, holds: impl Iterator<Item = &'h MemoryHold>) {
        let now = self.state.now();
        let engines: Vec<TargetEntry> = holds
            .filter(|hold| !self.expires_in_pause(now, hold))
            .map(|hold| hold.engine.clone())
            .collect();
        if !engines.is_empty() {
            let state = Arc::clone(self.state);
            task::spawn(release(state, engines, self.id.clone()));
        }
    }

    /// Returns whether a reservation expires soon at an engine that asked for a pause, so that it isn't
    /// released.
    fn expires_in_pause(&self, now: MonoMs, hold: &MemoryHold) -> bool {
        self.paused_until(now, hold).is_some() && hold.expires_at().since(now) <= HOLD_TTL_MS
    }
}

impl Drop for Reservations<'_> {
    fn drop(&mut self) {
        self.release_holds(self.live_holds());
    }
}

/// Releases memory. Where that fails, the reservation expires within [`HOLD_TTL_MS`].
async fn release(state: Arc<EntryState>, engines: Vec<TargetEntry>, id: String) {
    let Ok(body) = release_body(&id) else {
        return;
    };
    let orders = engines.iter().map(|engine| order(&state, engine, &body));
    for answered in join_all(orders).await {
        if let Err(fault) = answered {
            state.log(&Decision::Fault {
                part: "reservations",
                fault: format!("{id} isn't released and expires by itself: {fault}"),
            });
        }
    }
}

/// Sends an order to an engine. Returns the status of the answer.
async fn order(state: &EntryState, engine: &TargetEntry, body: &[u8]) -> Result<u16, String> {
    let call = own_call(
        state,
        engine,
        OwnCall::Order(ORDER_PATH, body),
        Need::Required,
    );
    let answered = timeout(state.clock.as_ref(), ORDER_TIMEOUT_MS, call);
    let (head, _body) = answered
        .await
        .ok_or_else(|| "no answer in time".to_owned())?
        .map_err(|fault| fault.to_string())?;
    Ok(head.status)
}
