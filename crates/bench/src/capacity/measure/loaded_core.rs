//! A single core that has read the published data.

use {
    crate::capacity::{
        clock::timed,
        fleet::{Published, PublishedSize, core_of, encode_pages, hello_of, report_of},
    },
    whinlatch_core::{Core, Event, MonoMs, PlatformEvent, TargetEvent},
    whinlatch_wire::platform::InstanceList,
};

/// Maximum size of the values in a page of records, in bytes.
const PAGE_BYTES: usize = 1_048_576;
/// Virtual time between two steps, in ms.
const STEP_MS: u64 = 50;

/// Responses of the platform, encoded in advance so that their memory and CPU time don't count as the
/// core's.
#[derive(Debug)]
pub struct PlatformAnswers {
    pages: Vec<Vec<u8>>,
    list: InstanceList,
}

impl PlatformAnswers {
    /// Encodes the responses of a platform with this much data.
    pub fn new(size: PublishedSize) -> Self {
        let published = Published::new(size);
        Self {
            pages: encode_pages(&published, PAGE_BYTES),
            list: published.list,
        }
    }

    /// Returns the size of all pages together, in bytes.
    pub fn page_bytes(&self) -> usize {
        self.pages.iter().map(Vec::len).sum()
    }
}

/// A core with its virtual clock.
#[derive(Debug)]
pub struct LoadedCore {
    /// The core that is measured.
    pub core: Core,
    /// Virtual time passed to the core.
    pub now: MonoMs,
    /// CPU time of decoding and merging the records, in ns.
    pub load_ns: u64,
}

impl LoadedCore {
    /// Creates a core that has read all pages and the instance list.
    pub fn new(answers: &PlatformAnswers) -> Self {
        let mut loaded = Self {
            core: core_of(MonoMs::default(), 0, 1),
            now: MonoMs::default(),
            load_ns: 0,
        };
        let mut load_ns = 0;
        for json in &answers.pages {
            let event = timed(&mut load_ns, || {
                let page =
                    serde_json::from_slice(json).expect("the page was encoded by this process");
                Event::Platform(PlatformEvent::Records(page))
            });
            loaded.step();
            let now = loaded.now;
            let actions = timed(&mut load_ns, || loaded.core.handle(now, event));
            drop(actions);
        }
        loaded.load_ns = load_ns;
        let list = PlatformEvent::Instances(answers.list.clone());
        loaded.handle(Event::Platform(list));
        loaded
    }

    /// Opens links to a number of peers.
    pub fn open_links(&mut self, peers: usize) {
        for number in 1..=peers {
            let hello = hello_of(number, 1);
            self.handle(Event::PeerUp { hello });
        }
    }

    /// Passes a load report of each target to the core.
    pub fn apply_target_reports(&mut self, targets: usize, streams_per_target: usize) {
        for number in 0..targets {
            let report = TargetEvent::Report(report_of(number, streams_per_target));
            self.handle(Event::Target {
                target: crate::capacity::fleet::target_name(number),
                event: report,
            });
        }
    }

    /// Advances the virtual time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP_MS;
    }

    /// Passes an event to the core and drops the resulting actions.
    pub fn handle(&mut self, event: Event) {
        drop(self.core.handle(self.now, event));
    }
}
