use {
    super::{
        attempt::AttemptFault,
        decision_line::Decision,
        engine_reports::report,
        entry_state::EntryState,
        own_call::{OwnCall, own_call},
    },
    crate::{clock::timeout, entropy::random_u64},
    async_std::task,
    futures::future::{join, join_all, pending},
    std::{net::SocketAddr, sync::Arc},
    whinlatch_platform::{MemoryUse, ORDER_PATH, read_memory_use, release_body, reserve_body},
    whinlatch_serving::{PromptPlace, targets::TargetEntry},
};

/// Time for which memory is set aside at once, in ms. Engines must have it back within four
/// seconds of the end of the prompt, also when this process dies without a word.
const HOLD_MS: u64 = 3_000;
/// Time between two renewals, in ms: two may fail before the memory lapses.
const RENEW_MS: u64 = 1_000;
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

/// Memory at one engine.
#[derive(Debug, Clone)]
struct Hold {
    engine: TargetEntry,
    tokens: u64,
}

/// Memory that is set aside at engines for one prompt: all that it needs or none. It is renewed
/// while [`Self::keep`] runs and given back when this is dropped, however that comes about.
#[derive(Debug)]
pub struct Reservations<'a> {
    state: &'a Arc<EntryState>,
    id: String,
    hold_ms: u64,
    helpers: Vec<Hold>,
    own: Option<Hold>,
}

impl<'a> Reservations<'a> {
    /// Sets aside what a prompt needs.
    ///
    /// # Errors
    /// [`AttemptFault::NoMemory`]; what was set aside is given back.
    pub async fn reserve(
        state: &'a Arc<EntryState>,
        place: &PromptPlace,
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

    fn wanted(state: &'a Arc<EntryState>, place: &PromptPlace) -> Self {
        let count = place.reserved.map_or(0, |reserved| reserved.engines);
        let tokens = place.reserved.map_or(0, |reserved| reserved.tokens);
        let helpers = place.helpers.iter().take(count);
        let own = place.goes_first.then(|| Hold {
            engine: place.engine.clone(),
            tokens: OWN_TOKENS,
        });
        Self {
            state,
            id: format!("w{:016x}", random_u64()),
            hold_ms: HOLD_MS.min(state.settings.reservation_most_ms),
            helpers: helpers
                .map(|engine| Hold {
                    engine: engine.clone(),
                    tokens,
                })
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
        let mut was_used = false;
        loop {
            self.state.clock.sleep(RENEW_MS).await;
            if let Err(fault) = self.order_all(self.holds()).await {
                self.note_trouble("isn't renewed", &fault);
            }
            let kept_ms = self.state.now().since(began);
            if kept_ms < LOOK_UP_AFTER_MS || was_used {
                continue;
            }
            match self.memory_use().await {
                Some(MemoryUse::Used) => was_used = true,
                // Whoever doesn't know of the memory doesn't keep it either.
                Some(MemoryUse::Unknown) => {}
                Some(MemoryUse::Unused) | None if kept_ms < GIVEN_UP_AFTER_MS => {}
                Some(MemoryUse::Unused) | None => return AttemptFault::Idle,
            }
        }
    }

    /// What the first engine that sets memory aside says of it; `None` if it says nothing.
    async fn memory_use(&self) -> Option<MemoryUse> {
        let hold = self.holds().next()?;
        let body = report(self.state, &hold.engine).await?;
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
    fn holds(&self) -> impl Iterator<Item = &Hold> {
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
    async fn order_all(&self, holds: impl Iterator<Item = &Hold>) -> Result<(), String> {
        let orders = holds.map(|hold| self.order(hold));
        let answers: Result<Vec<()>, String> = join_all(orders).await.into_iter().collect();
        answers.map(|_done| ())
    }

    async fn order(&self, hold: &Hold) -> Result<(), String> {
        let body =
            reserve_body(&self.id, hold.tokens, self.hold_ms).map_err(|fault| fault.to_string())?;
        match order(self.state, &hold.engine, &body).await? {
            DONE => Ok(()),
            status => Err(format!("{} answers {status}", hold.engine.id)),
        }
    }

    fn give_back<'h>(&self, holds: impl Iterator<Item = &'h Hold>) {
        let engines: Vec<TargetEntry> = holds.map(|hold| hold.engine.clone()).collect();
        if !engines.is_empty() {
            let state = Arc::clone(self.state);
            task::spawn(release(state, engines, self.id.clone()));
        }
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
    let call = own_call(state, engine, OwnCall::Order(ORDER_PATH, body));
    let answered = timeout(state.clock.as_ref(), ORDER_MS, call);
    let (head, _body) = answered
        .await
        .ok_or_else(|| "no answer in time".to_owned())?
        .map_err(|fault| fault.to_string())?;
    Ok(head.status)
}
