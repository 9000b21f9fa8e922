//! Memory of this process: allocated bytes, counted by the allocator, and resident bytes, reported by the
//! kernel.

use {
    stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc},
    std::{alloc::System, fs},
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Size of a page, in bytes.
const PAGE_BYTES: usize = 4_096;
/// Index of the field of `/proc/self/statm` with the resident pages.
const RESIDENT_FIELD: usize = 1;

/// Memory in use at one point in time, or a difference of two.
#[derive(Debug, Clone, Copy)]
pub struct Heap {
    /// Bytes allocated and not yet freed.
    pub allocated_bytes: i64,
    /// Resident bytes of the process; 0 where `/proc` isn't available.
    pub resident_bytes: i64,
}

impl Heap {
    /// Returns the memory currently in use.
    pub fn now() -> Self {
        let stats = ALLOCATOR.stats();
        Self {
            allocated_bytes: signed(stats.bytes_allocated) - signed(stats.bytes_deallocated),
            resident_bytes: signed(resident_bytes()),
        }
    }

    /// Returns the growth since `before`.
    pub fn since(self, before: Self) -> Self {
        Self {
            allocated_bytes: self.allocated_bytes - before.allocated_bytes,
            resident_bytes: self.resident_bytes - before.resident_bytes,
        }
    }
}

fn resident_bytes() -> usize {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(RESIDENT_FIELD)?.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn signed(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
