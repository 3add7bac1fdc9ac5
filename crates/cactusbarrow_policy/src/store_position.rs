//! Position in the history of the platform's store.

use std::fmt;

/// Era of the store, which begins when the store returns to an older copy of its data.
///
/// The store gives out revisions again in a new era. A store that states no era is in era 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of the store within an era; the default precedes all changes.
///
/// A position of a later era is newer, whatever its revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StorePosition {
    /// Era in which the store gave out the revision.
    pub era: StoreEra,
    /// Revision of the store; the first change has a revision above 0.
    pub revision: u64,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
