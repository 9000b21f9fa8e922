//! The platform: a configuration service that can only be read, and a lagging list of instances.
//!
//! `POST /standin/control` takes a [`PlatformControl`] and answers with a [`Published`]; besides
//! there are `/standin/die`, `/standin/silence` and `/standin/stats`, as with all fakes.

mod options;
mod routes;
mod state;
mod view;

pub use options::{PlatformControl, PlatformMode, PlatformOptions, PlatformStats, Published};
use {
    crate::standin::Standin,
    state::FakePlatform,
    std::io,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::{InstanceList, MAX_VALUE_BYTES},
    },
};

/// A running platform; stops when dropped.
pub type Platform = Standin<FakePlatform>;

impl Platform {
    /// Listens and answers from now on.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        Self::listen(options.listen, FakePlatform::new(&options)).await
    }

    /// Publishes a value of up to 1 MB, or deletes the record where there is none.
    pub fn publish(&self, key: &str, value: Option<&str>) -> Revision {
        let value = value.map(str::to_owned);
        self.control(PlatformControl::Publish {
            key: RecordKey::from(key),
            value,
        })
    }

    /// Sets the list of instances; readers see it after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        self.control(PlatformControl::Instances(list));
    }

    /// Sets how the platform behaves towards its readers.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.control(PlatformControl::Mode(mode));
    }

    /// Changes what is published or shown; gives the revision afterwards.
    ///
    /// # Panics
    /// The value of a record is over the largest that the platform takes.
    pub fn control(&self, control: PlatformControl) -> Revision {
        assert!(
            !control.is_too_large(),
            "over {MAX_VALUE_BYTES} bytes: split the record"
        );
        self.0.control_platform(control)
    }
}
