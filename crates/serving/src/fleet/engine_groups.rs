use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of engines in a group. Choosing among this many takes about 0.3 ms, and the sixteen
/// engines that may read one prompt are a small part of them.
const MAX_GROUP_ENGINES: usize = 96;
/// Fraction of the maximum below which the number of groups is halved. Well below one half, so that a few
/// engines that disappear and return don't change the number of groups each time.
const MERGE_FRACTION: f64 = 0.35;

/// One of the groups into which the engines are divided by a hash of their id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineGroup {
    /// Index of the group, below `count`.
    pub number: u32,
    /// Number of groups, a power of two.
    pub count: u32,
}

impl EngineGroup {
    /// Returns whether the engine belongs to this group.
    pub fn contains(self, engine: &str) -> bool {
        group_number(engine, self.count) == self.number
    }
}

/// Number of groups into which the engines are divided.
///
/// Groups serve fleets of thousands of engines and hundreds of instances, where no instance has the
/// processor time to choose among all engines or to receive all prompts. An instance that requests a
/// placement names the group. All instances adopt the number of groups of one hub: with different numbers,
/// deciders would choose among the same engines without receiving each other's prompts.
#[derive(Debug, Clone, Copy)]
pub struct EngineGroups {
    count: u32,
}

impl Default for EngineGroups {
    fn default() -> Self {
        Self { count: 1 }
    }
}

impl EngineGroups {
    /// Returns the number of groups, a power of two.
    pub fn count(self) -> u32 {
        self.count
    }

    /// Adjusts the number of groups to the number of engines.
    pub fn resize(&mut self, engines: usize) {
        let max_engines = |count: u32| count as usize * MAX_GROUP_ENGINES;
        while engines > max_engines(self.count) {
            self.count *= 2;
        }
        while self.count > 1 && (engines as f64) < MERGE_FRACTION * max_engines(self.count) as f64 {
            self.count /= 2;
        }
    }

    /// Adopts the number of groups of another instance; ignores a number that isn't a power of two.
    pub fn adopt(&mut self, count: u32) {
        if count.is_power_of_two() {
            self.count = count;
        }
    }

    /// Returns the group with this index, taken modulo the number of groups.
    pub fn group(self, number: u32) -> EngineGroup {
        EngineGroup {
            number: number % self.count,
            count: self.count,
        }
    }

    /// Returns the group to which the engine belongs.
    pub fn group_of(self, engine: &str) -> EngineGroup {
        self.group(group_number(engine, self.count))
    }
}

fn group_number(engine: &str, count: u32) -> u32 {
    (xxh3_64(engine.as_bytes()) % u64::from(count.max(1))) as u32
}
