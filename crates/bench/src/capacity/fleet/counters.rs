use serde::Serialize;

/// Traffic, reads and CPU time of one daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Peer frames sent.
    pub frames_out: u64,
    /// Bytes of peer frames sent, including WebSocket headers.
    pub peer_bytes_out: u64,
    /// Bytes of peer frames received, including WebSocket headers.
    pub peer_bytes_in: u64,
    /// Frames that the codec rejected as too large.
    pub frames_too_large: u64,
    /// Control calls to targets, which are all calls but attempts.
    pub target_calls: u64,
    /// Bytes of those calls, including HTTP headers.
    pub target_bytes_out: u64,
    /// Bytes of their responses, including HTTP headers.
    pub target_bytes_in: u64,
    /// Reads of records from the platform.
    pub record_reads: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Reads that the platform refused because they exceeded its rate limit.
    pub refused_reads: u64,
    /// Bytes received from the platform.
    pub platform_bytes_in: u64,
    /// Links opened, by either side.
    pub links_opened: u64,
    /// Decisions logged.
    pub decisions: u64,
    /// Bytes of the logged decisions.
    pub decision_bytes: u64,
    /// CPU time of the core, in ns.
    pub core_ns: u64,
    /// CPU time of the codecs, in ns.
    pub codec_ns: u64,
}

impl Counters {
    /// Adds the counts of another daemon or period.
    pub fn add(&mut self, other: &Self) {
        self.frames_out += other.frames_out;
        self.peer_bytes_out += other.peer_bytes_out;
        self.peer_bytes_in += other.peer_bytes_in;
        self.frames_too_large += other.frames_too_large;
        self.target_calls += other.target_calls;
        self.target_bytes_out += other.target_bytes_out;
        self.target_bytes_in += other.target_bytes_in;
        self.record_reads += other.record_reads;
        self.list_reads += other.list_reads;
        self.refused_reads += other.refused_reads;
        self.platform_bytes_in += other.platform_bytes_in;
        self.links_opened += other.links_opened;
        self.decisions += other.decisions;
        self.decision_bytes += other.decision_bytes;
        self.core_ns += other.core_ns;
        self.codec_ns += other.codec_ns;
    }

    /// Returns the reads of records and of the instance list.
    pub fn reads(&self) -> u64 {
        self.record_reads + self.list_reads
    }

    /// Returns the CPU time of core and codecs, in ns.
    pub fn cpu_ns(&self) -> u64 {
        self.core_ns + self.codec_ns
    }
}
