//! One core that holds what is published.

use {
    crate::capacity::{
        clock::timed,
        fleet::{Published, PublishedSize, core_of, cut_pages, hello_of, report_of},
    },
    whinlatch_core::{Core, Event, MonoMs, PlatformEvent, TargetEvent},
    whinlatch_wire::platform::InstanceList,
};

/// Values in a page of the platform, in bytes.
const PAGE_BYTES: usize = 1_048_576;
/// Time between two steps of loading, in ms.
const STEP_MS: u64 = 50;

/// What the platform will answer, encoded beforehand so that it isn't counted as the core's.
#[derive(Debug)]
pub struct Answers {
    pages: Vec<Vec<u8>>,
    list: InstanceList,
}

impl Answers {
    /// Encodes what a platform of this size answers.
    pub fn of(size: PublishedSize) -> Self {
        let published = Published::of(size);
        Self {
            pages: cut_pages(&published, PAGE_BYTES),
            list: published.list,
        }
    }

    /// Bytes of the pages.
    pub fn page_bytes(&self) -> usize {
        self.pages.iter().map(Vec::len).sum()
    }
}

/// A core and its time.
#[derive(Debug)]
pub struct Loaded {
    /// The core.
    pub core: Core,
    /// Its time.
    pub now: MonoMs,
    /// Processor time that decoding and merging the records took, in ns.
    pub load_ns: u64,
}

impl Loaded {
    /// A core that has read all pages and the list.
    pub fn from(answers: &Answers) -> Self {
        let mut loaded = Self {
            core: core_of(MonoMs::default(), 0, 1),
            now: MonoMs::default(),
            load_ns: 0,
        };
        let mut load_ns = 0;
        for json in &answers.pages {
            let event = timed(&mut load_ns, || {
                let page = serde_json::from_slice(json).expect("the page was written here");
                Event::Platform(PlatformEvent::Records(page))
            });
            loaded.step();
            let now = loaded.now;
            let actions = timed(&mut load_ns, || loaded.core.handle(now, event));
            drop(actions);
        }
        loaded.load_ns = load_ns;
        let list = PlatformEvent::Instances(answers.list.clone());
        loaded.feed(Event::Platform(list));
        loaded
    }

    /// Opens links to so many peers.
    pub fn link(&mut self, peers: usize) {
        for number in 1..=peers {
            let hello = hello_of(number, 1);
            self.feed(Event::PeerUp { hello });
        }
    }

    /// Has each target report its load.
    pub fn hear_targets(&mut self, targets: usize, streams_per_target: usize) {
        for number in 0..targets {
            let report = TargetEvent::Report(report_of(number, streams_per_target));
            self.feed(Event::Target {
                target: crate::capacity::fleet::target_name(number),
                event: report,
            });
        }
    }

    /// Lets time go on.
    pub fn step(&mut self) {
        self.now = self.now + STEP_MS;
    }

    /// Hands an event to the core and drops its actions.
    pub fn feed(&mut self, event: Event) {
        drop(self.core.handle(self.now, event));
    }
}
