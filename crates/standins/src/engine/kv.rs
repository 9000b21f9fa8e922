use {
    super::state::FakeEngine,
    crate::{
        http::{Answer, done, get, ok, refuse, status},
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

/// Path at which an engine fetches the prefix hashes of an export, shortest first.
pub const EXPORT_PATH: &str = "/peer/kv";
/// An engine that says nothing for so long is taken for gone.
const SILENCE: Duration = Duration::from_secs(1);

impl FakeEngine {
    /// Keeps the blocks of a prefix for another engine. The export is a reservation whose name is
    /// its handle.
    pub fn export(&mut self, now: Instant, export: &KvExport) -> Answer {
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

/// Fetches an export into the cache; 404 if the other engine has none.
pub async fn import(server: &Server<FakeEngine>, import: &KvImport) -> Answer {
    let path = format!("{EXPORT_PATH}?handle={}", import.handle);
    let fetched = timeout(SILENCE, get(import.from, &path)).await;
    let prefix_hashes: Vec<u64> = fetched.ok().flatten().unwrap_or_default();
    if prefix_hashes.last() != Some(&import.prefix_hash) {
        return status(StatusCode::NotFound);
    }
    let tokens = prefix_hashes.len() as u64 * PREFIX_BLOCK_TOKENS;
    let fetch_time = server.state().options.fetch_time(tokens);
    task::sleep(fetch_time).await;
    let mut state = server.state();
    let room_tokens = state.free_tokens();
    state
        .cache
        .store(Instant::now(), &prefix_hashes, room_tokens);
    done()
}
