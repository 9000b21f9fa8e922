use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    whinlatch_wire::target::{CacheEvent, PREFIX_BLOCK_TOKENS},
};

/// Maximum number of cache events kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Block {
    hash: u64,
    parent: Option<u64>,
}

/// Prefix cache of blocks of prompt tokens with LRU eviction, and its log of events.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Cached blocks, the least recently used first.
    blocks: Vec<Block>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    /// Drops each event whose sequence number is a multiple of this; none if 0.
    gap_every: u64,
}

impl PrefixCache {
    pub fn new(gap_every: u64) -> Self {
        Self {
            gap_every,
            ..Self::default()
        }
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the number of tokens in the longest cached prefix of a prompt.
    pub fn cached_tokens(&self, prefix_hashes: &[u64]) -> u64 {
        let cached = prefix_hashes
            .iter()
            .take_while(|hash| self.find(**hash).is_some());
        cached.count() as u64 * PREFIX_BLOCK_TOKENS
    }

    /// Stores the leading blocks of a prompt that fit and marks them as recently used.
    pub fn store(&mut self, now: Instant, prefix_hashes: &[u64], capacity_tokens: u64) {
        let fitting = prefix_hashes
            .len()
            .min((capacity_tokens / PREFIX_BLOCK_TOKENS) as usize);
        // The first block is marked last, so that it is evicted last: later blocks are useless without it.
        for index in (0..fitting).rev() {
            let hash = prefix_hashes[index];
            match self.find(hash) {
                Some(at) => drop(self.blocks.remove(at)),
                None => self.record(now, hash, true),
            }
            let parent = index.checked_sub(1).map(|before| prefix_hashes[before]);
            self.blocks.push(Block { hash, parent });
        }
        self.evict_to(now, capacity_tokens);
    }

    /// Evicts the least recently used blocks until at most `capacity_tokens` are cached.
    pub fn evict_to(&mut self, now: Instant, capacity_tokens: u64) {
        let max_blocks = (capacity_tokens / PREFIX_BLOCK_TOKENS) as usize;
        let excess = self.blocks.len().saturating_sub(max_blocks);
        let evicted: Vec<_> = self.blocks.drain(..excess).collect();
        for block in evicted {
            self.record(now, block.hash, false);
        }
    }

    /// Returns the hashes of all blocks up to this prefix, shortest first, or `None` if one was evicted.
    pub fn chain(&self, prefix_hash: u64) -> Option<Vec<u64>> {
        let mut chain = Vec::new();
        let mut next = Some(prefix_hash);
        while let Some(hash) = next {
            next = self.blocks[self.find(hash)?].parent;
            chain.insert(0, hash);
        }
        Some(chain)
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub fn events(&self, now: Instant, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _event)| *at + lag <= now);
        let newer = visible.filter(|(_at, event)| event.sequence > after);
        newer.map(|(_at, event)| event.clone()).collect()
    }

    fn find(&self, hash: u64) -> Option<usize> {
        self.blocks.iter().position(|block| block.hash == hash)
    }

    fn record(&mut self, now: Instant, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        if self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back((
            now,
            CacheEvent {
                sequence: self.sequence,
                prefix_hash,
                stored,
            },
        ));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
