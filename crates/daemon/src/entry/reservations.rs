use {
    super::{
        attempt::AttemptFault,
        decision_line::Decision,
        engine_reports::report,
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

/// Time for which memory is set aside at once, in ms. Engines must have it back within four
/// seconds of the end of the prompt, also when this process dies without a word.
const HOLD_MS: u64 = 3_000;
/// Time between two renewals, in ms: two may fail before the memory lapses.
const RENEW_MS: u64 = 1_000;
/// Time between two looks whether a renewal is due, in ms: an engine that wants nothing from this instance for
/// a while bears what comes within half a second.
const LOOK_MS: u64 = 250;
/// Time beyond an engine's pause for which memory is set aside before it, in ms.
const PAUSE_MARGIN_MS: u64 = 1_000;
/// Time after which it is looked up whether a prompt uses the memory, in ms: most prompts have
/// begun by then.
const LOOK_UP_AFTER_MS: u64 = 4_500;
/// Time after which a prompt that doesn't use the memory is given up, in ms: no memory may be set
/// aside in vain for nine seconds, and an order and a report may take their whole time before.
const GIVEN_UP_AFTER_MS: u64 = 6_500;
/// Time for the answer to an order, in ms.
const ORDER_MS: u64 = 400;
/// Tokens that are set aside at the engine that answers: a block of an engine's memory. What counts
/// is that there is an entry at all.
const OWN_TOKENS: u64 = 16;
/// Status of an order that was carried out.
const DONE: u16 = 200;

/// Memory that is set aside at engines for one prompt: all that it needs or none. It is renewed
/// while [`Self::keep`] runs and given back when this is dropped, however that comes about.
#[derive(Debug)]
pub struct Reservations<'a> {
    state: &'a Arc<EntryState>,
    id: String,
    helpers: Vec<MemoryHold>,
    own: Option<MemoryHold>,
}

impl<'a> Reservations<'a> {
    /// Sets aside what a prompt needs.
    ///
    /// # Errors
    /// [`AttemptFault::NoMemory`]; what was set aside is given back.
    pub async fn reserve(
        state: &'a Arc<EntryState>,
        place: &PromptPlacement,
    ) -> Result<Self, AttemptFault> {
        let mut reservations = Self::wanted(state, place);
        let own = reservations.own.iter();
        let helpers = reservations.helpers.iter();
        let (own, helpers) =
            join(reservations.order_all(own), reservations.order_all(helpers)).await;
        helpers.map_err(AttemptFault::NoMemory)?;
        if let Err(fault) = own {
            // The prompt only loses its place in the order of reading by that.
            reservations.note_trouble("isn't set aside where it is answered", &fault);
            reservations.give_back(reservations.own.iter());
            reservations.own = None;
        }
        Ok(reservations)
    }

    fn wanted(state: &'a Arc<EntryState>, place: &PromptPlacement) -> Self {
        let count = place.reserved.map_or(0, |reserved| reserved.engines);
        let tokens = place.reserved.map_or(0, |reserved| reserved.tokens);
        let helpers = place.helpers.iter().take(count);
        let own = place
            .is_prioritized
            .then(|| MemoryHold::new(&place.engine, OWN_TOKENS));
        Self {
            state,
            id: format!("w{:016x}", random_u64()),
            helpers: helpers
                .map(|engine| MemoryHold::new(engine, tokens))
                .collect(),
            own,
        }
    }

    /// What the engine that answers is told of itself and its helpers, in the order in which they
    /// fill.
    pub fn entries(&self, helpers: &[TargetEntry]) -> Vec<String> {
        let held = |address: SocketAddr| format!("{address}/{}", self.id);
        let own = self.own.iter().map(|hold| held(hold.engine.address));
        let helpers = helpers.iter().enumerate().map(|(order, helper)| {
            if order < self.helpers.len() {
                held(helper.address)
            } else {
                helper.address.to_string()
            }
        });
        own.chain(helpers).collect()
    }

    /// Renews the memory until it turns out that the prompt doesn't use it. An engine that doesn't
    /// renew it may serve on all the same; it cuts the prompt off itself where it doesn't.
    ///
    /// Guards against an engine that takes requests, works on none and carries out orders all the
    /// same: its memory would be out of use for as long as the prompt's caller waits.
    pub async fn keep(&self) -> AttemptFault {
        if self.holds().next().is_none() {
            return pending().await;
        }
        let began = self.state.now();
        let mut looked_up_at = began;
        let mut was_used = false;
        loop {
            self.state.clock.sleep(LOOK_MS).await;
            let now = self.state.now();
            let due = self.holds().filter(|hold| self.is_due(now, hold));
            if let Err(fault) = self.order_all(due).await {
                self.note_trouble("isn't renewed", &fault);
            }
            let kept_ms = self.state.now().since(began);
            let is_look_up_due = now.since(looked_up_at) >= RENEW_MS;
            if kept_ms < LOOK_UP_AFTER_MS || was_used || !is_look_up_due {
                continue;
            }
            looked_up_at = now;
            match self.memory_use().await {
                Some(MemoryUse::Used) => was_used = true,
                // Whoever doesn't know of the memory doesn't keep it either.
                Some(MemoryUse::Unknown) => {}
                Some(MemoryUse::Unused) | None if kept_ms < GIVEN_UP_AFTER_MS => {}
                Some(MemoryUse::Unused) | None => return AttemptFault::Idle,
            }
        }
    }

    /// Whether an order is due that keeps memory. One that wants nothing for a while gets one before that only if
    /// the memory would lapse meanwhile.
    fn is_due(&self, now: MonoMs, hold: &MemoryHold) -> bool {
        match self.paused_until(now, hold) {
            Some(until) => hold.lapses_at() <= until,
            None => hold.age_ms(now) >= RENEW_MS,
        }
    }

    fn paused_until(&self, now: MonoMs, hold: &MemoryHold) -> Option<MonoMs> {
        self.state.serving().paused_until(now, &hold.engine.id)
    }

    /// What the first engine that sets memory aside says of it; `None` if it says nothing.
    async fn memory_use(&self) -> Option<MemoryUse> {
        let now = self.state.now();
        let mut holds = self.holds().peekable();
        holds.peek()?;
        let Some(hold) = holds.find(|hold| self.paused_until(now, hold).is_none()) else {
            // They answer no question now, which doesn't tell that the memory isn't used.
            return Some(MemoryUse::Unknown);
        };
        let body = report(self.state, &hold.engine, Need::Due).await?;
        match read_memory_use(&body, &self.id) {
            Ok(memory_use) => Some(memory_use),
            Err(fault) => {
                self.note_trouble("can't be looked up", &fault.to_string());
                None
            }
        }
    }

    /// Where memory is set aside. An engine that has started again since holds none of it, and would
    /// set it aside anew for a prompt that it knows nothing of.
    fn holds(&self) -> impl Iterator<Item = &MemoryHold> {
        let all = self.own.iter().chain(&self.helpers);
        all.filter(|hold| !self.state.serving().has_restarted(&hold.engine))
    }

    fn note_trouble(&self, what: &str, fault: &str) {
        self.state.log(&Decision::Trouble {
            part: "reservations",
            fault: format!("{} {what}: {fault}", self.id),
        });
    }

    /// Gives the order to set memory aside, or to keep it longer, at some engines.
    async fn order_all(&self, holds: impl Iterator<Item = &MemoryHold>) -> Result<(), String> {
        let orders = holds.map(|hold| self.order(hold));
        let answers: Result<Vec<()>, String> = join_all(orders).await.into_iter().collect();
        answers.map(|_done| ())
    }

    async fn order(&self, hold: &MemoryHold) -> Result<(), String> {
        let now = self.state.now();
        let pause_ms = self
            .paused_until(now, hold)
            .map_or(0, |until| until.since(now) + PAUSE_MARGIN_MS);
        let most_ms = self.state.settings.max_reservation_ms;
        let hold_ms = HOLD_MS.max(pause_ms).min(most_ms);
        hold.note_order(now, hold_ms);
        let body =
            reserve_body(&self.id, hold.tokens, hold_ms).map_err(|fault| fault.to_string())?;
        match order(self.state, &hold.engine, &body).await? {
            DONE => Ok(()),
            status => Err(format!("{} answers {status}", hold.engine.id)),
        }
    }

    fn give_back<'h>(&self, holds: impl Iterator<Item = &'h MemoryHold>) {
        let now = self.state.now();
        let engines: Vec<TargetEntry> = holds
            .filter(|hold| !self.lapses_in_pause(now, hold))
            .map(|hold| hold.engine.clone())
            .collect();
        if !engines.is_empty() {
            let state = Arc::clone(self.state);
            task::spawn(release(state, engines, self.id.clone()));
        }
    }

    /// Whether memory lapses soon by itself at an engine that wants nothing from this instance now.
    fn lapses_in_pause(&self, now: MonoMs, hold: &MemoryHold) -> bool {
        self.paused_until(now, hold).is_some() && hold.lapses_at().since(now) <= HOLD_MS
    }
}

impl Drop for Reservations<'_> {
    fn drop(&mut self) {
        self.give_back(self.holds());
    }
}

/// Gives memory back. Where that fails, it lapses by itself within [`HOLD_MS`].
async fn release(state: Arc<EntryState>, engines: Vec<TargetEntry>, id: String) {
    let Ok(body) = release_body(&id) else {
        return;
    };
    let orders = engines.iter().map(|engine| order(&state, engine, &body));
    for answered in join_all(orders).await {
        if let Err(fault) = answered {
            state.log(&Decision::Trouble {
                part: "reservations",
                fault: format!("{id} lapses by itself: {fault}"),
            });
        }
    }
}

/// Gives an order. Returns the status of the answer.
async fn order(state: &EntryState, engine: &TargetEntry, body: &[u8]) -> Result<u16, String> {
    let call = own_call(state, engine, OwnCall::Order(ORDER_PATH, body), Need::Due);
    let answered = timeout(state.clock.as_ref(), ORDER_MS, call);
    let (head, _body) = answered
        .await
        .ok_or_else(|| "no answer in time".to_owned())?
        .map_err(|fault| fault.to_string())?;
    Ok(head.status)
}
