use {super::Member, std::net::SocketAddr, whinlatch_core::MonoMs};

/// Heartbeats that an instance may miss before it is no longer named to callers. A packet loss of a few
/// percent delays a heartbeat by one second at most and rarely takes an instance out.
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// Minimum silence after which an instance is considered dead, in ms, whatever its heartbeat interval.
const MIN_SILENCE_TIMEOUT_MS: u64 = 1_250;
/// Time within which an instance must send a frame after a link to it broke, in ms.
const BROKEN_LINK_TIMEOUT_MS: u64 = 400;
/// Time for which a request to link back counts, in ms: two heartbeats over all links of a large fleet, and some.
const LINK_REQUEST_TTL_MS: u64 = 5_000;

/// State of another instance as this one knows it.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Newest statement of the instance itself, received directly or through peers.
    pub member: Member,
    /// Peer addresses of the instances whose rosters list it.
    pub listed_by: Vec<SocketAddr>,
    /// When it was last seen alive, directly or through peers.
    pub last_seen_at: MonoMs,
    /// Number of groups into which it divides the engines, 0 if it hasn't reported one.
    pub engine_groups: u32,
    /// When it last sent a frame to this instance. [`Self::suspect`] moves it back to bring the timeout
    /// forward.
    last_frame_at: Option<MonoMs>,
    link_requested_at: Option<MonoMs>,
}

impl KnownMember {
    /// Returns the state of an instance from which no frame has been received yet.
    pub fn new(now: MonoMs, member: Member) -> Self {
        Self {
            member,
            listed_by: Vec::new(),
            last_seen_at: now,
            engine_groups: 0,
            last_frame_at: None,
            link_requested_at: None,
        }
    }

    /// Applies a statement of the instance, received directly or through peers. Returns the run that it
    /// replaces, if any.
    ///
    /// Ignores a statement of the same run that is older than the known one. Otherwise an instance that no
    /// longer receives frames of a peer would go on naming it to callers, though the peer has announced
    /// through others that it leaves.
    pub fn apply_statement(&mut self, member: Member) -> Option<u64> {
        let former_run = self.member.run;
        if member.run == former_run && member.stated_at_ms < self.member.stated_at_ms {
            return None;
        }
        self.member = member;
        (former_run != self.member.run).then_some(former_run)
    }

    /// Records a frame that the instance sent to this one.
    pub fn record_frame(&mut self, now: MonoMs) {
        self.last_frame_at = Some(now);
        self.last_seen_at = now;
    }

    /// Records a request of the instance to be linked to.
    pub fn record_link_request(&mut self, now: MonoMs) {
        self.link_requested_at = Some(now);
    }

    /// Returns whether the instance has recently requested a link.
    pub fn has_requested_link(&self, now: MonoMs) -> bool {
        self.link_requested_at
            .is_some_and(|at| now.since(at) < LINK_REQUEST_TTL_MS)
    }

    /// Returns the silence after which the instance is considered dead, in ms.
    fn silence_timeout_ms(&self) -> u64 {
        (MAX_MISSED_HEARTBEATS * self.member.heartbeat_interval_ms).max(MIN_SILENCE_TIMEOUT_MS)
    }

    /// Returns whether the instance has sent a frame recently; `grace_ms` extends the permitted silence.
    pub fn is_responsive(&self, now: MonoMs, grace_ms: u64) -> bool {
        self.last_frame_at.is_some_and(|last_frame_at| {
            now.since(last_frame_at) < self.silence_timeout_ms() + grace_ms
        })
    }

    /// Shortens the permitted silence after a link broke: the instance is considered dead unless it sends a
    /// frame within `BROKEN_LINK_TIMEOUT_MS`.
    pub fn suspect(&mut self, now: MonoMs) {
        let latest =
            MonoMs((now.0 + BROKEN_LINK_TIMEOUT_MS).saturating_sub(self.silence_timeout_ms()));
        self.last_frame_at = self
            .last_frame_at
            .map(|last_frame_at| last_frame_at.min(latest));
    }

    /// Restarts the silence timeout, after a time in which this process could not receive frames. Has no
    /// effect on an instance that has never sent one.
    pub fn reset_silence(&mut self, now: MonoMs) {
        if self.last_frame_at.is_some() {
            self.record_frame(now);
        }
    }
}
