//! A key of the store that only this gateway writes.

use cactusbarrow_adapter::{KeyValue, Lease, ReplaceOutcome, StoreClient, StoreError};

/// Outcome of a write of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnedKeyWrite {
    Written,
    /// Nothing was written: the key holds what another write has left since, an earlier incarnation's, or an earlier
    /// one of this gateway that was not answered. The next write replaces that.
    Conflict(Option<KeyValue>),
}

/// Revision of the item that a key is known to hold: 0 for none, `None` if it is not known.
///
/// Each write replaces that item: one that was not answered may be executed seconds later, and would hide a newer
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnedKey(Option<u64>);

impl OwnedKey {
    /// Creates the state of a key that holds no item.
    pub(crate) fn empty() -> Self {
        Self(Some(0))
    }

    /// Creates the state of a key that holds an item which was read.
    pub(crate) fn holding(item: &KeyValue) -> Self {
        Self(Some(item.position.revision))
    }

    /// Writes a value if the key holds the known item.
    pub(crate) async fn write(
        &mut self,
        store: &StoreClient,
        key: &str,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<OwnedKeyWrite, StoreError> {
        match store.replace(key, value, self.0, lease).await? {
            ReplaceOutcome::Written { revision } => {
                self.0 = revision;
                Ok(OwnedKeyWrite::Written)
            }
            ReplaceOutcome::Conflict { current } => {
                let revision = current.as_ref().map_or(0, |item| item.position.revision);
                // A store that refuses the item it names is not asked for it again.
                let is_repeated = self.0 == Some(revision);
                self.0 = (!is_repeated).then_some(revision);
                Ok(OwnedKeyWrite::Conflict(current))
            }
        }
    }
}
