//! The simulated platform: pages of records, the instance list, and a limit on reads per second.

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

/// Milliseconds per second.
const MS_PER_S: u64 = 1_000;

/// The platform, with its answers cached until the published data changes.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) published: Published,
    page_bytes: usize,
    /// Encoded pages by the revision that they start after.
    pages: HashMap<Revision, Arc<Vec<u8>>>,
    /// The encoded instance list; absent until it is read.
    list: Option<Arc<Vec<u8>>>,
    /// Reads in each second of virtual time.
    reads: BTreeMap<u64, u64>,
}

impl Platform {
    /// Creates a platform whose pages hold at most `page_bytes` of values, or one larger value.
    pub(super) fn new(published: Published, page_bytes: usize) -> Self {
        Self {
            published,
            page_bytes,
            pages: HashMap::new(),
            list: None,
            reads: BTreeMap::new(),
        }
    }

    /// Changes the published data.
    pub(super) fn publish(&mut self, change: impl FnOnce(&mut Published)) {
        change(&mut self.published);
        self.pages.clear();
        self.list = None;
    }

    /// Counts a read. Returns whether it is within this second's limit.
    pub(super) fn admits(&mut self, now: MonoMs) -> bool {
        let reads = self.reads.entry(now.0 / MS_PER_S).or_default();
        *reads += 1;
        *reads <= PLATFORM_READS_PER_S
    }

    /// Returns the maximum reads in a second, including refused ones.
    pub(super) fn max_reads_per_s(&self) -> u64 {
        self.reads.values().copied().max().unwrap_or(0)
    }

    /// Resets the count of reads.
    pub(super) fn clear_reads(&mut self) {
        self.reads.clear();
    }

    /// Returns the page of records after a revision, as JSON.
    pub(super) fn page(&mut self, after: Revision) -> Arc<Vec<u8>> {
        if let Some(page) = self.pages.get(&after) {
            return Arc::clone(page);
        }
        let page = Arc::new(to_json(&self.page_after(after)));
        self.pages.insert(after, Arc::clone(&page));
        page
    }

    /// Returns the instance list, as JSON.
    pub(super) fn list(&mut self) -> Arc<Vec<u8>> {
        let list = self
            .list
            .get_or_insert_with(|| Arc::new(to_json(&self.published.list)));
        Arc::clone(list)
    }

    fn page_after(&self, after: Revision) -> RecordPage {
        page_after(&self.published, after, self.page_bytes)
    }
}

/// Returns all pages of the published records, as JSON.
pub fn encode_pages(published: &Published, page_bytes: usize) -> Vec<Vec<u8>> {
    let mut pages = Vec::new();
    let mut after = Revision::default();
    loop {
        let page = page_after(published, after, page_bytes);
        pages.push(to_json(&page));
        match page.records.last() {
            Some(last) if page.more => after = last.revision,
            _ => return pages,
        }
    }
}

/// Returns the records after a revision whose values take at most `page_bytes`, and at least one record.
fn page_after(published: &Published, after: Revision, page_bytes: usize) -> RecordPage {
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
        revision: published.newest_revision(),
        records: all[first..end].to_vec(),
        more: end < all.len(),
    }
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the platform's answers are plain data")
}
