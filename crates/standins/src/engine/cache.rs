use {
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::{Duration, Instant},
    },
    whinlatch_wire::target::{CacheEvent, PREFIX_BLOCK_TOKENS},
};

/// Events kept for readers; older ones are lost.
const KEPT_EVENTS: usize = 4_096;

#[derive(Debug)]
struct Block {
    parent: Option<u64>,
    used_at: u64,
}

/// Blocks of prompts' prefixes; the least recently used yield.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: HashMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    gap_every: u64,
}

impl PrefixCache {
    pub fn new(gap_every: u64) -> Self {
        Self {
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            sequence: 0,
            gap_every,
        }
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tokens of the longest cached prefix of a prompt.
    pub fn cached_tokens(&self, prefix_hashes: &[u64]) -> u64 {
        let cached = prefix_hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash));
        cached.count() as u64 * PREFIX_BLOCK_TOKENS
    }

    /// Stores the first blocks of a prompt that fit, and marks them as used.
    pub fn store(&mut self, now: Instant, prefix_hashes: &[u64], room_tokens: u64) {
        let fitting = prefix_hashes
            .len()
            .min((room_tokens / PREFIX_BLOCK_TOKENS) as usize);
        // The first block is used last: what follows on it is of no use without it.
        for index in (0..fitting).rev() {
            let parent = index.checked_sub(1).map(|before| prefix_hashes[before]);
            self.touch(now, prefix_hashes[index], parent);
        }
        self.trim(now, room_tokens);
    }

    /// Evicts until no more than so many tokens are cached.
    pub fn trim(&mut self, now: Instant, room_tokens: u64) {
        while self.blocks.len() as u64 * PREFIX_BLOCK_TOKENS > room_tokens {
            let Some((_used_at, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.record(now, hash, false);
        }
    }

    /// The blocks up to this prefix, if all are still there.
    pub fn chain(&self, prefix_hash: u64) -> Option<Vec<u64>> {
        let mut chain = vec![prefix_hash];
        let mut block = self.blocks.get(&prefix_hash)?;
        while let Some(parent) = block.parent {
            chain.push(parent);
            block = self.blocks.get(&parent)?;
        }
        chain.reverse();
        Some(chain)
    }

    /// Events after a number that are at least so old.
    pub fn events(&self, now: Instant, after: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at + lag <= now)
            .map(|(_at, event)| event.clone())
            .collect()
    }

    fn touch(&mut self, now: Instant, hash: u64, parent: Option<u64>) {
        self.uses += 1;
        let block = Block {
            parent,
            used_at: self.uses,
        };
        self.by_use.insert(self.uses, hash);
        match self.blocks.insert(hash, block) {
            Some(former) => {
                self.by_use.remove(&former.used_at);
            }
            None => self.record(now, hash, true),
        }
    }

    fn record(&mut self, now: Instant, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        let lost = self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every);
        if lost {
            return;
        }
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((
            now,
            CacheEvent {
                sequence: self.sequence,
                prefix_hash,
                stored,
            },
        ));
    }
}
