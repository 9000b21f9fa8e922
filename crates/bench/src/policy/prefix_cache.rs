use {
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::target::{CacheEvent, PREFIX_BLOCK_TOKENS},
};

/// Prefix cache of a simulated engine: complete blocks with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Number of the latest use of each block, by its hash.
    last_use: HashMap<u64, u64>,
    /// The inverse of `last_use`.
    by_last_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns the tokens at the start of a prompt that need no prefill and marks their blocks as used. At
    /// least one token of a prompt is prefilled.
    pub fn hit_tokens(&mut self, hashes: &[u64], prompt_tokens: u64) -> u64 {
        let mut blocks = 0;
        for hash in hashes {
            if !self.last_use.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            blocks += 1;
        }
        (blocks * PREFIX_BLOCK_TOKENS).min(prompt_tokens.saturating_sub(1))
    }

    /// Stores the blocks of a prompt, the last one first, so that a prefix is evicted after the blocks that
    /// depend on it.
    pub fn store(&mut self, hashes: &[u64], free_tokens: u64) {
        let max_blocks = (free_tokens / PREFIX_BLOCK_TOKENS) as usize;
        for hash in hashes.iter().take(max_blocks).rev() {
            if !self.last_use.contains_key(hash) {
                self.record_event(*hash, true);
            }
            self.touch(*hash);
        }
        self.shrink(free_tokens);
    }

    /// Evicts blocks until the cache takes at most `free_tokens`.
    pub fn shrink(&mut self, free_tokens: u64) {
        while self.last_use.len() as u64 * PREFIX_BLOCK_TOKENS > free_tokens {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
            self.record_event(hash, false);
        }
    }

    /// Returns the events whose sequence number is above `after`.
    pub fn events_after(&self, after: u64) -> &[CacheEvent] {
        let start = self.events.partition_point(|event| event.sequence <= after);
        &self.events[start..]
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(previous) = self.last_use.insert(hash, self.uses) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.uses, hash);
    }

    fn record_event(&mut self, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            prefix_hash,
            stored,
        });
    }
}
