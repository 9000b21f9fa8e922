use {
    super::{Shared, state::State},
    crate::{
        client,
        http::{Answer, done, status},
        signal::lock,
    },
    async_std::{future::timeout, task},
    http_types::StatusCode,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
    whinlatch_wire::{
        ids::AttemptId,
        target::{
            KvExport, KvHandle, KvImport, PREFIX_BLOCK_TOKENS, RefusalReason, ReserveRequest,
        },
    },
};

/// Path at which an engine fetches an export of another.
pub const EXPORT_PATH: &str = "/peer/kv";
/// An engine that says nothing for so long is taken for gone.
const SILENCE: Duration = Duration::from_secs(1);

/// The blocks of an export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedBlocks {
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefix_hashes: Vec<u64>,
}

impl State {
    /// Keeps the blocks of a prefix for another engine; `None` if they aren't cached. The export
    /// is a reservation whose name is its handle.
    pub fn export(
        &mut self,
        now: Instant,
        export: &KvExport,
    ) -> Option<Result<KvHandle, RefusalReason>> {
        let blocks = self.cache.chain(export.prefix_hash)?;
        let tokens = blocks.len() as u64 * PREFIX_BLOCK_TOKENS;
        let handle = fastrand::u64(..);
        let reserved = self.reserve(
            now,
            &ReserveRequest {
                reservation: AttemptId(u128::from(handle)),
                owner: export.owner,
                expect_incarnation: self.incarnation,
                tokens,
                hold_ms: export.hold_ms,
            },
        );
        Some(reserved.map(|()| {
            self.exports.insert(handle, blocks);
            KvHandle { handle, tokens }
        }))
    }

    pub fn exported(&mut self, now: Instant, handle: u64) -> Option<ExportedBlocks> {
        self.prune(now);
        let prefix_hashes = self.exports.get(&handle)?.clone();
        Some(ExportedBlocks { prefix_hashes })
    }
}

impl Shared {
    /// Fetches an export into the cache; 404 if the other engine has none.
    pub async fn import(&self, import: &KvImport) -> Answer {
        let path = format!("{EXPORT_PATH}?handle={}", import.handle);
        let fetched = timeout(SILENCE, client::get(import.from, &path)).await;
        let Ok(Some(ExportedBlocks { prefix_hashes })) = fetched else {
            return status(StatusCode::NotFound);
        };
        if prefix_hashes.last() != Some(&import.prefix_hash) {
            return status(StatusCode::NotFound);
        }
        let tokens = prefix_hashes.len() as f64 * PREFIX_BLOCK_TOKENS as f64;
        let rate = self.options.kv_tokens_per_s * self.options.tokens_scale;
        task::sleep(Duration::from_secs_f64(tokens / rate)).await;
        let mut state = lock(&self.state);
        let room_tokens = state.free_tokens();
        state
            .cache
            .store(Instant::now(), &prefix_hashes, room_tokens);
        done()
    }
}
