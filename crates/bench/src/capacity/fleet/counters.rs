use serde::Serialize;

/// What one daemon sent, read and computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Peer frames sent.
    pub frames_out: u64,
    /// Bytes of peer frames sent, websocket heads included.
    pub peer_bytes_out: u64,
    /// Bytes of peer frames received, websocket heads included.
    pub peer_bytes_in: u64,
    /// Frames that the codec refused because they were too large.
    pub frames_too_large: u64,
    /// Calls to targets that aren't attempts.
    pub target_calls: u64,
    /// Bytes of those calls, heads included.
    pub target_bytes_out: u64,
    /// Bytes of their answers, heads included.
    pub target_bytes_in: u64,
    /// Reads of records from the platform.
    pub record_reads: u64,
    /// Reads of the list of instances.
    pub list_reads: u64,
    /// Reads that the platform refused because its budget was used up.
    pub refused_reads: u64,
    /// Bytes that the platform answered.
    pub platform_bytes_in: u64,
    /// Links opened.
    pub links_opened: u64,
    /// Decisions for the log.
    pub decisions: u64,
    /// Bytes of their text.
    pub decision_bytes: u64,
    /// Processor time in the core, in ns.
    pub core_ns: u64,
    /// Processor time in the codecs, in ns.
    pub codec_ns: u64,
}

impl Counters {
    /// Adds what another counted.
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

    /// Reads of the platform, of both kinds.
    pub fn reads(&self) -> u64 {
        self.record_reads + self.list_reads
    }

    /// Processor time in core and codecs, in ns.
    pub fn cpu_ns(&self) -> u64 {
        self.core_ns + self.codec_ns
    }
}
