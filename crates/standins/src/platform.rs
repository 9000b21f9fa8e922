//! Fake platform: a read-only configuration service and a delayed list of instances.
//!
//! Control: `POST /standin/control` takes a [`PlatformControl`] and answers with a [`ControlResponse`];
//! `/standin/die`, `/standin/silence` and `/standin/stats` work as with all fakes.

mod options;
mod routes;
mod state;
mod view;

pub use options::{ControlResponse, PlatformControl, PlatformMode, PlatformOptions, PlatformStats};
use {
    crate::standin::Standin,
    state::FakePlatform,
    std::io,
    whinlatch_wire::{
        ids::{RecordKey, Revision},
        platform::{InstanceList, MAX_VALUE_BYTES},
    },
};

/// Running platform, which stops when it is dropped.
pub type Platform = Standin<FakePlatform>;

impl Platform {
    /// Binds the listen address and starts to answer requests.
    ///
    /// # Errors
    /// The listen address can't be bound.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        Self::listen(options.listen, FakePlatform::new(&options)).await
    }

    /// Publishes a record with a value of up to 1 MB, or deletes it if there is no value. Returns the new
    /// revision.
    pub fn publish(&self, key: &str, value: Option<&str>) -> Revision {
        let value = value.map(str::to_owned);
        self.control(PlatformControl::Publish {
            key: RecordKey::from(key),
            value,
        })
    }

    /// Sets the list of instances, which readers see after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        self.control(PlatformControl::Instances(list));
    }

    /// Sets how the platform answers its readers.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.control(PlatformControl::Mode(mode));
    }

    /// Applies a control message. Returns the revision after it.
    ///
    /// # Panics
    /// The value of a record exceeds the maximum size.
    pub fn control(&self, control: PlatformControl) -> Revision {
        assert!(
            !control.is_too_large(),
            "over {MAX_VALUE_BYTES} bytes: split the record"
        );
        self.0.control_platform(control)
    }
}
