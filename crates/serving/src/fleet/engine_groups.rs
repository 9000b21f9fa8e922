use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Engines that a group has at most. A choice among so many takes some 0.3 ms, and sixteen that
/// read one prompt are a small part of them.
const MOST_ENGINES: usize = 96;
/// Share of the engines that two groups may have before they become one again. Well below a half,
/// so that a few engines that go and come back don't change the number of groups each time.
const MERGE_SHARE: f64 = 0.35;

/// One of the groups into which the engines are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineGroup {
    /// Its number.
    pub number: u32,
    /// How many groups there are, a power of two.
    pub count: u32,
}

impl EngineGroup {
    /// Whether an engine belongs to it.
    pub fn has(self, engine: &str) -> bool {
        number_of(engine, self.count) == self.number
    }
}

/// Into how many groups the engines are divided.
///
/// The load that this answers: thousands of engines and hundreds of instances, where no instance
/// has the processor time to choose for all of them or to hear of all prompts. An instance that asks says
/// which group it means; all go by the number of one hub, since those with another number choose among the
/// same engines without hearing of each other's prompts.
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
    /// Number of groups.
    pub fn count(self) -> u32 {
        self.count
    }

    /// Fits the number to that of the engines.
    pub fn fit(&mut self, engines: usize) {
        let most = |count: u32| count as usize * MOST_ENGINES;
        while engines > most(self.count) {
            self.count *= 2;
        }
        while self.count > 1 && (engines as f64) < MERGE_SHARE * most(self.count) as f64 {
            self.count /= 2;
        }
    }

    /// Takes the number that another instance has, if there can be so many.
    pub fn adopt(&mut self, count: u32) {
        if count.is_power_of_two() {
            self.count = count;
        }
    }

    /// The group with a number.
    pub fn group(self, number: u32) -> EngineGroup {
        EngineGroup {
            number: number % self.count,
            count: self.count,
        }
    }

    /// The group of an engine.
    pub fn of(self, engine: &str) -> EngineGroup {
        self.group(number_of(engine, self.count))
    }
}

fn number_of(engine: &str, count: u32) -> u32 {
    (xxh3_64(engine.as_bytes()) % u64::from(count.max(1))) as u32
}
