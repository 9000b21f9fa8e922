use {
    super::state::FakeEngine,
    crate::{
        http::{HandlerResult, get, no_content, ok, refuse, status},
        standin::Server,
    },
    async_std::{future::timeout, task},
    http_types::StatusCode,
    std::time::{Duration, Instant},
    whinlatch_wire::{
        ids::AttemptId,
        target::{KvExport, KvHandle, KvImport, PREFIX_BLOCK_TOKENS, ReserveRequest},
    },
};

/// Path at which another engine fetches the prefix hashes of an export, shortest first.
pub const EXPORT_PATH: &str = "/peer/kv";
/// Time without an answer after which the other engine is considered gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

impl FakeEngine {
    /// Exports the blocks of a cached prefix for another engine. The memory of the export is held by a
    /// reservation whose id is the handle.
    pub fn export(&mut self, now: Instant, export: &KvExport) -> HandlerResult {
        let Some(prefix_hashes) = self.cache.chain(export.prefix_hash) else {
            return status(StatusCode::NotFound);
        };
        let tokens = prefix_hashes.len() as u64 * PREFIX_BLOCK_TOKENS;
        let handle = fastrand::u64(..);
        let reservation = AttemptId(u128::from(handle));
        let hold = ReserveRequest {
            reservation,
            owner: export.owner,
            expect_incarnation: self.common.incarnation,
            tokens,
            hold_ms: export.hold_ms,
        };
        if let Err(reason) = self.reserve(now, hold) {
            return refuse(reservation, reason);
        }
        self.exports.insert(handle, prefix_hashes);
        ok(&KvHandle { handle, tokens })
    }
}

/// Fetches an export of another engine into the cache. Answers 404 if that engine doesn't have it.
pub async fn import(server: &Server<FakeEngine>, import: &KvImport) -> HandlerResult {
    let path = format!("{EXPORT_PATH}?handle={}", import.handle);
    let fetched = timeout(PEER_TIMEOUT, get(import.from, &path)).await;
    let prefix_hashes: Vec<u64> = fetched.ok().flatten().unwrap_or_default();
    if prefix_hashes.last() != Some(&import.prefix_hash) {
        return status(StatusCode::NotFound);
    }
    let tokens = prefix_hashes.len() as u64 * PREFIX_BLOCK_TOKENS;
    let fetch_time = server.state().options.fetch_time(tokens);
    task::sleep(fetch_time).await;
    let mut state = server.state();
    let free_tokens = state.free_tokens();
    state
        .cache
        .store(Instant::now(), &prefix_hashes, free_tokens);
    no_content()
}
