use {
    super::{ForwardGuard, ForwardNote},
    crate::{
        clock::timeout,
        entry::{
            answer_limits::MAX_SKIPPED_BYTES,
            answers::CallerAnswer,
            attempt::AttemptFault,
            decision_line::Decision,
            entry_state::EntryState,
            http::ResponseHead,
            request_context::RequestContext,
            target_connection::{TargetConnection, TargetFault},
        },
    },
    futures::{FutureExt, future::pending, pin_mut, select},
    std::{io, net::SocketAddr},
    thiserror::Error,
    whinlatch_platform::TargetResponse,
    whinlatch_serving::ForwardPeer,
};

/// Peers that are asked to take a request.
const MAX_PEERS: usize = 2;
/// Targets to which no connection could be opened, after which a request is served through a peer: the second one
/// hardly has crashed by chance as well.
const MAX_UNREACHED: u32 = 2;
/// Status with which a peer says that it doesn't take a request, which hasn't run.
pub const NOT_TAKEN: u16 = 421;
/// Time between two checks whether a peer is alive, in ms.
const LIFE_CHECK_INTERVAL_MS: u64 = 250;
/// Time within which a peer that has died is known to be gone, in ms: its links broke with the connection.
const DEATH_TIMEOUT_MS: u64 = 700;
/// Time for which a connection to a peer is reused, in ms: peers keep idle connections of callers for seconds.
const KEEP_ALIVE_MS: u64 = 2_000;

/// Reason for which no peer served a request.
#[derive(Debug, Error)]
pub enum ForwardFault {
    /// No peer has taken the request; none has run it.
    #[error("no peer takes the request")]
    NotTaken,
    /// The connection to the peer broke, so that the request may have run.
    #[error("the peer didn't answer: {fault}")]
    Broken {
        /// The peer.
        peer: ForwardPeer,
        /// How the connection broke.
        fault: TargetFault,
    },
}

/// The begin of an answer that comes through a peer.
#[derive(Debug)]
pub struct ForwardedHead<'a> {
    /// Its head.
    pub head: ResponseHead,
    /// The connection on which the body follows.
    pub connection: TargetConnection,
    /// Counts the request as forwarded.
    pub guard: ForwardGuard<'a>,
    /// Whether a target made the answer; otherwise it is an error of the peer.
    pub is_sealed: bool,
}

impl ForwardedHead<'_> {
    /// Keeps the connection for other requests, once the body was received completely.
    pub fn keep_connection(self, state: &EntryState) {
        if self.head.keeps_alive {
            let address = self.guard.peer().caller_address;
            let keep_alive_ms = Some(KEEP_ALIVE_MS);
            let pool = &state.pool;
            pool.put(state.now(), address, self.connection, keep_alive_ms);
        }
    }
}

/// The choice whether a request is sent to targets or to a peer, and its way through peers.
#[derive(Debug)]
pub struct Forward<'a> {
    state: &'a EntryState,
    context: &'a RequestContext,
    answer: &'a CallerAnswer<'a>,
    /// Peer addresses of the instances that were asked.
    tried: Vec<SocketAddr>,
    /// Whether no further peer takes the request.
    is_over: bool,
    /// Attempts for which no connection could be opened.
    unreached: u32,
}

impl<'a> Forward<'a> {
    /// Returns a request that wasn't forwarded yet.
    pub fn new(
        state: &'a EntryState,
        context: &'a RequestContext,
        answer: &'a CallerAnswer<'a>,
    ) -> Self {
        Self {
            state,
            context,
            answer,
            tried: Vec::new(),
            is_over: false,
            unreached: 0,
        }
    }

    /// Records the fault of an attempt at a target.
    pub fn record_fault(&mut self, fault: &AttemptFault) {
        self.unreached += u32::from(matches!(fault, AttemptFault::NotSent(_)));
    }

    /// Returns whether the request is to be sent to a peer now, after `runs` targets may have run it.
    pub fn is_due(&self, runs: u32) -> bool {
        (self.unreached >= MAX_UNREACHED || self.is_out_of_reach()) && self.is_possible(runs)
    }

    /// Has the request be sent to a peer, where there is no other way left and some target couldn't be reached. Returns
    /// whether that is possible.
    pub fn resort_to_peer(&mut self, runs: u32) -> bool {
        let is_possible = (self.unreached > 0 || self.is_out_of_reach()) && self.is_possible(runs);
        if is_possible {
            self.unreached = MAX_UNREACHED;
        }
        is_possible
    }

    /// Returns whether a further attempt at a target is of no use: one couldn't be reached, and none of the service is
    /// in reach.
    pub fn is_hopeless(&self) -> bool {
        self.unreached > 0 && self.is_out_of_reach()
    }

    fn is_out_of_reach(&self) -> bool {
        self.state.serving().is_out_of_reach(&self.context.service)
    }

    /// Returns whether the request may be sent to a peer. One that came from a peer never is.
    fn is_possible(&self, runs: u32) -> bool {
        let route = &self.context.route;
        let may_repeat = runs == 0 || route.retry_policy.is_idempotent();
        let has_attempt = !self.is_over && may_repeat && runs < route.max_attempts;
        let now = self.state.now();
        has_attempt
            && self.context.forwarded.is_none()
            && self
                .state
                .serving()
                .has_forward_peer(now, &self.context.service, &[])
    }

    /// Sends the request to a peer that takes it, and receives the head of its answer. `runs` targets may have run the
    /// request before; `received` is the id of the last event that came to this instance.
    ///
    /// # Errors
    /// [`ForwardFault`].
    pub async fn send(
        &mut self,
        runs: u32,
        received: Option<u64>,
    ) -> Result<ForwardedHead<'a>, ForwardFault> {
        while self.tried.len() < MAX_PEERS {
            let now = self.state.now();
            let chosen =
                self.state
                    .serving()
                    .choose_forward_peer(now, &self.context.service, &self.tried);
            let Some(peer) = chosen else { break };
            let guard = ForwardGuard::new(self.state, peer);
            self.tried.push(peer.peer_address);
            let Ok(connection) = self.connection(&peer).await else {
                continue;
            };
            let request = self.request(&peer, runs, received);
            self.state.log(&Decision::Forwarded {
                request: self.context.caller.request_id.clone(),
                route: self.context.route.name.clone(),
                peer: peer.peer_address.to_string(),
                runs,
            });
            self.answer.set_may_have_run(true);
            let answered = self.exchange(&peer, connection, &request, runs).await;
            let (connection, head) = answered.map_err(|fault| {
                self.is_over = self.tried.len() >= MAX_PEERS;
                self.state.metrics.record_forward("broken");
                ForwardFault::Broken { peer, fault }
            })?;
            let is_sealed = TargetResponse::read(head.status, head.pairs()).is_sealed;
            let mut forwarded = ForwardedHead {
                head,
                connection,
                guard,
                is_sealed,
            };
            if forwarded.head.status != NOT_TAKEN || is_sealed {
                self.state.metrics.record_forward("taken");
                return Ok(forwarded);
            }
            self.state.metrics.record_forward("not_taken");
            self.answer.set_may_have_run(runs > 0);
            let skipped = forwarded
                .connection
                .complete_body(&forwarded.head, MAX_SKIPPED_BYTES);
            if skipped.await.is_ok() {
                forwarded.keep_connection(self.state);
            }
        }
        self.is_over = true;
        Err(ForwardFault::NotTaken)
    }

    /// Returns how many targets may have run the request at a peer to which the connection broke.
    ///
    /// A peer that has died was most likely at its first target. One that lives has given up, after as many targets as
    /// the route allows.
    pub async fn runs_at(&self, peer: &ForwardPeer) -> u32 {
        let gone = until_peer_is_gone(self.state, peer);
        let died = timeout(self.state.clock.as_ref(), DEATH_TIMEOUT_MS, gone).await;
        match died {
            Some(()) => 1,
            None => self.context.route.max_attempts,
        }
    }

    /// Completes once a peer that serves the request is no longer considered alive, and the request can go on elsewhere
    /// after `runs` targets may have run it before. Never completes for a request that may not be repeated: a peer that
    /// is silent may still answer.
    pub async fn until_peer_is_replaceable(&self, peer: &ForwardPeer, runs: u32) {
        let route = &self.context.route;
        if !route.retry_policy.is_idempotent() || runs + 1 >= route.max_attempts {
            return pending().await;
        }
        loop {
            until_peer_is_gone(self.state, peer).await;
            if self.has_other_way() {
                return;
            }
            self.state.clock.sleep(LIFE_CHECK_INTERVAL_MS).await;
        }
    }

    /// Returns whether the request may go on at a target that this instance reaches again, or through a peer that wasn't
    /// asked yet.
    fn has_other_way(&self) -> bool {
        if self.unreached < MAX_UNREACHED && !self.is_out_of_reach() {
            return true;
        }
        let (now, service) = (self.state.now(), &self.context.service);
        let serving = self.state.serving();
        self.tried.len() < MAX_PEERS && serving.has_forward_peer(now, service, &self.tried)
    }

    /// Returns a connection to a peer. What runs once at most goes over a new one, on which the peer can't have closed
    /// its side already.
    async fn connection(&self, peer: &ForwardPeer) -> io::Result<TargetConnection> {
        let (state, address) = (self.state, peer.caller_address);
        if self.context.route.retry_policy.is_idempotent()
            && let Some(connection) = state.pool.take(state.now(), address)
        {
            return Ok(connection);
        }
        state.pool.open(state.clock.as_ref(), address).await
    }

    fn request(&self, peer: &ForwardPeer, runs: u32, received: Option<u64>) -> Vec<u8> {
        let context = self.context;
        let note = ForwardNote {
            run: peer.run,
            version: context.version,
            service: context.service.to_string(),
            age_ms: self.state.now().since(context.arrived),
            sends: self.answer.progress().sends,
            runs,
            is_resumed: self.answer.has_begun(),
        };
        context.for_peer(&note, received)
    }

    async fn exchange(
        &self,
        peer: &ForwardPeer,
        mut connection: TargetConnection,
        request: &[u8],
        runs: u32,
    ) -> Result<(TargetConnection, ResponseHead), TargetFault> {
        let state = self.state;
        let left_ms = self.context.deadline.since(state.now());
        let head = {
            let answered = async {
                connection.send(request).await?;
                connection.head(&self.context.head.method).await
            };
            let answered = timeout(state.clock.as_ref(), left_ms, answered).fuse();
            let gone = self.until_peer_is_replaceable(peer, runs).fuse();
            pin_mut!(answered, gone);
            select! {
                head = answered => head.unwrap_or(Err(TargetFault::Closed))?,
                () = gone => return Err(TargetFault::Closed),
            }
        };
        Ok((connection, head))
    }
}

/// Completes once a peer is no longer considered alive. Guards against a peer that has lost power: the connection to it
/// doesn't break.
async fn until_peer_is_gone(state: &EntryState, peer: &ForwardPeer) {
    while state.serving().is_live(state.now(), peer) {
        state.clock.sleep(LIFE_CHECK_INTERVAL_MS).await;
    }
}
