//! The platform's service: pages of records, the list, and a budget of reads.

use {
    super::Published,
    crate::capacity::size::PLATFORM_READS_PER_S,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    whinlatch_core::MonoMs,
    whinlatch_wire::{ids::Revision, platform::RecordPage},
};

/// ms in a second.
const SECOND_MS: u64 = 1_000;

/// The platform as its readers see it.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) published: Published,
    page_bytes: usize,
    pages: HashMap<Revision, Arc<Vec<u8>>>,
    list: Option<Arc<Vec<u8>>>,
    reads: BTreeMap<u64, u64>,
}

impl Platform {
    /// A platform whose pages hold at most `page_bytes` of values.
    pub(super) fn new(published: Published, page_bytes: usize) -> Self {
        Self {
            published,
            page_bytes,
            pages: HashMap::new(),
            list: None,
            reads: BTreeMap::new(),
        }
    }

    /// Changes what is published.
    pub(super) fn publish(&mut self, change: impl FnOnce(&mut Published)) {
        change(&mut self.published);
        self.pages.clear();
        self.list = None;
    }

    /// Counts a read. Returns whether the budget of this second allows it.
    pub(super) fn admits(&mut self, now: MonoMs) -> bool {
        let reads = self.reads.entry(now.0 / SECOND_MS).or_default();
        *reads += 1;
        *reads <= PLATFORM_READS_PER_S
    }

    /// Most reads in a second, the refused ones included.
    pub(super) fn busiest_second(&self) -> u64 {
        self.reads.values().copied().max().unwrap_or(0)
    }

    /// Forgets the reads so far.
    pub(super) fn forget_reads(&mut self) {
        self.reads.clear();
    }

    /// The page after a revision, as JSON.
    pub(super) fn page(&mut self, after: Revision) -> Arc<Vec<u8>> {
        if let Some(page) = self.pages.get(&after) {
            return Arc::clone(page);
        }
        let page = Arc::new(to_json(&self.cut_page(after)));
        self.pages.insert(after, Arc::clone(&page));
        page
    }

    /// The list of instances, as JSON.
    pub(super) fn list(&mut self) -> Arc<Vec<u8>> {
        let list = self
            .list
            .get_or_insert_with(|| Arc::new(to_json(&self.published.list)));
        Arc::clone(list)
    }

    fn cut_page(&self, after: Revision) -> RecordPage {
        cut_page(&self.published, after, self.page_bytes)
    }
}

/// All pages of what is published, as JSON.
pub fn cut_pages(published: &Published, page_bytes: usize) -> Vec<Vec<u8>> {
    let mut pages = Vec::new();
    let mut after = Revision::default();
    loop {
        let page = cut_page(published, after, page_bytes);
        pages.push(to_json(&page));
        match page.records.last() {
            Some(last) if page.more => after = last.revision,
            _ => return pages,
        }
    }
}

fn cut_page(published: &Published, after: Revision, page_bytes: usize) -> RecordPage {
    let all = &published.records;
    let first = all.partition_point(|record| record.revision <= after);
    let mut bytes = 0;
    let mut end = first;
    while let Some(record) = all.get(end) {
        bytes += record.value.as_ref().map_or(0, |value| value.len());
        if end > first && bytes > page_bytes {
            break;
        }
        end += 1;
    }
    RecordPage {
        revision: published.newest(),
        records: all[first..end].to_vec(),
        more: end < all.len(),
    }
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the platform's answers are plain data")
}
