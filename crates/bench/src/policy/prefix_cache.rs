use {
    std::collections::{BTreeMap, HashMap},
    whinlatch_wire::target::{CacheEvent, PREFIX_BLOCK_TOKENS},
};

/// The prefix cache of a fake engine: whole blocks, the least recently used evicted first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Tokens at the start of a prompt that needn't be read again. At least one token is read.
    pub fn hit_tokens(&mut self, hashes: &[u64], prompt_tokens: u64) -> u64 {
        let mut blocks = 0;
        for hash in hashes {
            if !self.used_at.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            blocks += 1;
        }
        (blocks * PREFIX_BLOCK_TOKENS).min(prompt_tokens.saturating_sub(1))
    }

    /// Stores the blocks of a prompt, the deepest first, so that a prefix goes after what follows it.
    pub fn store(&mut self, hashes: &[u64], room_tokens: u64) {
        let fits = (room_tokens / PREFIX_BLOCK_TOKENS) as usize;
        for hash in hashes.iter().take(fits).rev() {
            if !self.used_at.contains_key(hash) {
                self.note(*hash, true);
            }
            self.touch(*hash);
        }
        self.shrink(room_tokens);
    }

    /// Evicts until the cache takes no more than `room_tokens`.
    pub fn shrink(&mut self, room_tokens: u64) {
        while self.used_at.len() as u64 * PREFIX_BLOCK_TOKENS > room_tokens {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&hash);
            self.note(hash, false);
        }
    }

    /// Events after the one numbered `after`.
    pub fn events_after(&self, after: u64) -> &[CacheEvent] {
        let from = self.events.partition_point(|event| event.sequence <= after);
        &self.events[from..]
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(before) = self.used_at.insert(hash, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, hash);
    }

    fn note(&mut self, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            prefix_hash,
            stored,
        });
    }
}
