use {
    super::store_calls::CallKind,
    whinlatch_platform::{operators_request, targets_request},
    whinlatch_serving::targets::PublishedChanges,
};

/// Pages of a full read so far. They are read at different revisions, so they aren't a consistent snapshot. A target
/// that is missing from them is taken as missing at the first answer's revision, from which a watch continues.
#[derive(Debug)]
pub struct FullRead {
    /// Revision of the first page; `None` before it was read.
    pub revision: Option<u64>,
    /// Targets and evacuations on the pages so far.
    pub published: PublishedChanges,
    section: Section,
    after: Option<String>,
}

/// What the next page of a full read contains. What operators publish comes first: while it is lacking,
/// targets that may get nothing could be used.
#[derive(Debug, Clone, Copy)]
enum Section {
    Operators,
    Targets,
}

impl FullRead {
    /// Creates a read whose first page is the next one.
    pub fn new() -> Self {
        Self {
            revision: None,
            published: PublishedChanges::default(),
            section: Section::Operators,
            after: None,
        }
    }

    /// Returns the kind of the next call, and its request target.
    pub fn next_request(&self) -> (CallKind, String) {
        let after = self.after.as_deref();
        match self.section {
            Section::Operators => (CallKind::Configuration, operators_request(after)),
            Section::Targets => (CallKind::Page, targets_request(after)),
        }
    }

    /// Returns whether the next page is the first one of targets.
    pub fn is_at_first_targets(&self) -> bool {
        matches!(self.section, Section::Targets) && self.after.is_none()
    }

    /// Moves on after a page. Returns whether it was the last one.
    pub fn advance(&mut self, next_after: Option<String>) -> bool {
        self.after = next_after;
        match self.section {
            _ if self.after.is_some() => false,
            Section::Operators => {
                self.section = Section::Targets;
                false
            }
            Section::Targets => true,
        }
    }
}
