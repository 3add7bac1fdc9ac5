//! Current configuration of this process.

use std::sync::{Arc, Mutex, PoisonError};

use cactusbarrow_document::Fleet;
use cactusbarrow_policy::{AdoptedConfig, Delta, Revision};
use tokio::sync::watch;

/// Current configuration, with notification of changes.
#[derive(Debug)]
pub(crate) struct ConfigState {
    adopted: Mutex<AdoptedConfig>,
    fleet: watch::Sender<Arc<Fleet>>,
}

impl ConfigState {
    /// Creates a state with an empty configuration at revision 0.
    pub(crate) fn new() -> Self {
        Self {
            adopted: Mutex::new(AdoptedConfig::new()),
            fleet: watch::Sender::new(Arc::new(Fleet::default())),
        }
    }

    /// Adopts a delta if it is newer than the current revision; returns true if it was adopted.
    ///
    /// `source` names the sender in the log.
    pub(crate) fn adopt(&self, delta: &Delta, source: &str) -> bool {
        let mut adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = adopted.revision();
        match adopted.adopt(delta) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(e) => {
                log::warn!(step = "adopt configuration", peer = source; "{e}");
                return false;
            }
        }
        // Published while the lock is held, so that an older fleet cannot replace a newer one.
        let fleet = self.next_fleet(delta, previous);
        self.fleet.send_replace(Arc::new(fleet));
        log::info!(revision = delta.to.0, peer = source; "configuration adopted");
        metrics::gauge!("cactusbarrow_config_revision").set(delta.to.0 as f64);
        true
    }

    /// Returns the current configuration.
    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        self.fleet.borrow().clone()
    }

    /// Returns the current revision.
    pub(crate) fn revision(&self) -> Revision {
        self.fleet.borrow().revision()
    }

    /// Returns a receiver that receives each adopted configuration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.subscribe()
    }

    /// Returns the changes that bring a peer from `since` to the current revision.
    pub(crate) fn delta_since(&self, since: Revision) -> Delta {
        let adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        adopted.delta_since(since)
    }

    /// Applies a delta to the fleet of the revision `previous`.
    fn next_fleet(&self, delta: &Delta, previous: Revision) -> Fleet {
        let is_full = delta.from == Revision(0);
        let mut fleet = if is_full {
            Fleet::default()
        } else {
            Fleet::clone(&self.fleet.borrow())
        };
        let is_new = |revision: Revision| is_full || revision > previous;
        for change in delta.changes.iter().filter(|c| is_new(c.revision)) {
            if let Err(e) = fleet.apply(&change.key, change.value.as_deref(), change.revision) {
                log::error!(step = "apply configuration"; "{e}");
            }
        }
        fleet.set_revision(delta.to);
        fleet
    }
}
