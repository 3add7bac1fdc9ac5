//! Software versions of backend servers.
//!
//! Load pattern: operators replace the software of engines while they serve, so that engines of
//! several versions are listed for one service. Versions have no order, and what two of them write
//! does not fit together, so a stream stays at the version that brought its first event.

use std::fmt;
use std::sync::Arc;

use crate::hash::stable_hash;

/// Version of the software that a backend server runs; empty if its entry states none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(pub Arc<str>);

impl SoftwareVersion {
    /// Returns the id under which gateways exchange and compare the version.
    pub fn id(&self) -> SoftwareId {
        SoftwareId(stable_hash(self.0.as_bytes()))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Hash of a [`SoftwareVersion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareId(pub u64);
