//! The platform: a configuration service that can only be read, and a lagging list of instances.
//!
//! Besides the two calls of the platform there are, for the operator's side and for tests:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /standin/publish` | [`Publish`] | [`Published`] |
//! | `POST /standin/instances` | [`InstanceList`] (its version is ignored) | 204 |
//! | `POST /standin/instance_lag` | [`InstanceLag`] | 204 |
//! | `POST /standin/mode` | [`PlatformMode`] | 204 |
//! | `POST /standin/forget_history` | [`ForgetHistory`] | 204 |
//! | `GET /standin/stats` | | [`PlatformStats`] |

mod instances;
mod options;
mod reads;
mod routes;
mod view;

pub use options::{
    ANY_PORT, ForgetHistory, InstanceLag, PlatformMode, PlatformOptions, PlatformStats, Publish,
    Published,
};
use {
    crate::{
        server::{Freeze, Server},
        signal::{Signal, lock},
    },
    instances::LaggingList,
    reads::ReadBudget,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    view::View,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::{InstanceList, MAX_VALUE_BYTES},
        record::RecordEnvelope,
    },
};

/// A running platform; stops when dropped.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Signal,
}

#[derive(Debug)]
struct State {
    mode: PlatformMode,
    view: View,
    /// What is served while stale.
    stale: Option<View>,
    log: Vec<RecordEnvelope>,
    instances: LaggingList,
    reads: ReadBudget,
}

impl Platform {
    /// Listens and answers from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                mode: PlatformMode::Normal,
                view: View::default(),
                stale: None,
                log: Vec::new(),
                instances: LaggingList::new(Duration::from_millis(options.instance_lag_ms)),
                reads: ReadBudget::new(options.reads_per_s),
            }),
            changed: Signal::new(),
        });
        let routed = Arc::clone(&shared);
        let handler =
            Arc::new(move |request, _connection| routes::answer(Arc::clone(&routed), request));
        let server = Server::start(options.listen, Arc::new(Freeze::new()), handler).await?;
        Ok(Self { server, shared })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a value, or deletes the record where there is none.
    ///
    /// # Panics
    /// The value is over the largest size that the platform takes.
    pub fn publish(&self, key: &str, value: Option<&str>) -> Revision {
        assert!(
            value.is_none_or(|value| value.len() <= MAX_VALUE_BYTES),
            "value over 1 MB"
        );
        self.shared.publish(RecordKey::from(key), value)
    }

    /// Sets the list of instances; readers see it after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        lock(&self.shared.state).instances.set(Instant::now(), list);
    }

    /// Sets how late changes of the list show from now on.
    pub fn set_instance_lag(&self, lag: Duration) {
        lock(&self.shared.state).instances.lag = lag;
    }

    /// Sets how the platform behaves towards its readers.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.shared.set_mode(mode);
    }

    /// Forgets how the records came to be; readers get 410 once.
    pub fn forget_history(&self, forget: ForgetHistory) {
        self.shared.forget_history(forget);
    }

    /// What was read and refused so far.
    pub fn stats(&self) -> PlatformStats {
        self.shared.stats()
    }
}

impl Shared {
    fn publish(&self, key: RecordKey, value: Option<&str>) -> Revision {
        let mut state = lock(&self.state);
        let revision = Revision(state.view.revision.0 + 1);
        let record = RecordEnvelope {
            key,
            revision,
            value: value.map(Arc::from),
        };
        state.view.put(record.clone());
        state.log.push(record);
        drop(state);
        self.changed.notify();
        revision
    }

    fn set_mode(&self, mode: PlatformMode) {
        let mut state = lock(&self.state);
        state.stale = match mode {
            PlatformMode::Stale { as_of: None } => Some(state.view.clone()),
            PlatformMode::Stale {
                as_of: Some(revision),
            } => Some(View::as_of(revision, &state.log)),
            PlatformMode::Normal | PlatformMode::Down { .. } | PlatformMode::Slow { .. } => None,
        };
        state.mode = mode;
        drop(state);
        self.changed.notify();
    }

    fn forget_history(&self, forget: ForgetHistory) {
        lock(&self.state)
            .view
            .forget_history(forget.drop_tombstones);
        self.changed.notify();
    }

    fn stats(&self) -> PlatformStats {
        let state = lock(&self.state);
        state.reads.stats(state.view.revision)
    }
}
