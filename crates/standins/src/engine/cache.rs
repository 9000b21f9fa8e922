use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    whinlatch_wire::target::{CacheEvent, PREFIX_BLOCK_TOKENS},
};

/// Events kept for readers; older ones are lost.
const KEPT_EVENTS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Block {
    hash: u64,
    parent: Option<u64>,
}

/// Blocks of prompts' prefixes; the least recently used yield.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// The least recently used first.
    blocks: Vec<Block>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    /// Each event whose number divides by this is lost; none if 0.
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

    /// Tokens of the longest cached prefix of a prompt.
    pub fn cached_tokens(&self, prefix_hashes: &[u64]) -> u64 {
        let cached = prefix_hashes
            .iter()
            .take_while(|hash| self.find(**hash).is_some());
        cached.count() as u64 * PREFIX_BLOCK_TOKENS
    }

    /// Stores the first blocks of a prompt that fit, and marks them as used.
    pub fn store(&mut self, now: Instant, prefix_hashes: &[u64], room_tokens: u64) {
        let fitting = prefix_hashes
            .len()
            .min((room_tokens / PREFIX_BLOCK_TOKENS) as usize);
        // The first block is used last: what follows on it is of no use without it.
        for index in (0..fitting).rev() {
            let hash = prefix_hashes[index];
            match self.find(hash) {
                Some(at) => drop(self.blocks.remove(at)),
                None => self.record(now, hash, true),
            }
            let parent = index.checked_sub(1).map(|before| prefix_hashes[before]);
            self.blocks.push(Block { hash, parent });
        }
        self.trim(now, room_tokens);
    }

    /// Evicts until no more than so many tokens are cached.
    pub fn trim(&mut self, now: Instant, room_tokens: u64) {
        let room = (room_tokens / PREFIX_BLOCK_TOKENS) as usize;
        let surplus = self.blocks.len().saturating_sub(room);
        let evicted: Vec<_> = self.blocks.drain(..surplus).collect();
        for block in evicted {
            self.record(now, block.hash, false);
        }
    }

    /// The blocks up to this prefix, if all are still there.
    pub fn chain(&self, prefix_hash: u64) -> Option<Vec<u64>> {
        let mut chain = Vec::new();
        let mut next = Some(prefix_hash);
        while let Some(hash) = next {
            next = self.blocks[self.find(hash)?].parent;
            chain.insert(0, hash);
        }
        Some(chain)
    }

    /// Events after a number that are at least so old.
    pub fn events(&self, now: Instant, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let due = self.events.iter().filter(|(at, _event)| *at + lag <= now);
        let news = due.filter(|(_at, event)| event.sequence > after);
        news.map(|(_at, event)| event.clone()).collect()
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
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
