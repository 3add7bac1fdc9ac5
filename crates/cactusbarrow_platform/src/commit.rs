//! Commits of configuration changes: a compare-and-swap of the root, retried until its outcome is
//! known.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cactusbarrow_policy::Revision;

use crate::layout::{History, PageError, ROOT_KEY, Receipt, Root, Shard, history_key, shard_key};
use crate::plan::{CommitRequest, Plan, PlanError, plan_commit};
use crate::store::{Store, StoreError, Versioned};

/// Maximum number of attempts while other writers interfere or the outcome of a swap is unknown.
const MAX_ATTEMPTS: u32 = 40;
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The revision that contains the change.
    pub revision: Revision,
    /// Whether an earlier attempt of the operation had already been accepted.
    pub is_replay: bool,
    /// Whether the change altered the configuration.
    pub is_change: bool,
}

/// Why a change was not committed, or may not have been.
#[derive(Debug)]
pub enum CommitError {
    /// The change is not acceptable; nothing was changed.
    Refused(PlanError),
    /// A call to the store failed; nothing was changed.
    NotChanged(StoreError),
    /// The change may have been applied; [`find_operation`] tells whether it was.
    Uncertain(StoreError),
    /// The stored configuration cannot be read.
    Unreadable(PageError),
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(e) => e.fmt(f),
            Self::NotChanged(e) => write!(f, "nothing was changed: {e}"),
            Self::Uncertain(e) => write!(f, "the change may have been applied: {e}"),
            Self::Unreadable(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for CommitError {}

impl From<PageError> for CommitError {
    fn from(e: PageError) -> Self {
        Self::Unreadable(e)
    }
}

/// The configuration as read from the store.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The root page.
    pub root: Root,
    /// Store index of the root; 0 if it does not exist yet.
    pub index: u64,
    /// The history page.
    pub history: History,
    /// Shards by shard name.
    pub shards: BTreeMap<String, Shard>,
}

/// Reads the whole configuration.
pub async fn load_configuration<S: Store>(store: &S) -> Result<Configuration, CommitError> {
    let mut last_revision = None;
    for _ in 0..MAX_ATTEMPTS {
        let Some(stored) = store.get(ROOT_KEY).await.map_err(CommitError::NotChanged)? else {
            return Ok(Configuration::default());
        };
        let root = Root::decode(&stored.value)?;
        if let Some((history, shards)) = load_pages(store, &root).await? {
            return Ok(Configuration {
                root,
                index: stored.index,
                history,
                shards,
            });
        }
        // A page was replaced and deleted during the read, so there is a newer root.
        last_revision = Some(root.revision);
    }
    Err(CommitError::Unreadable(PageError {
        key: ROOT_KEY.to_owned(),
        message: format!("pages of revision {last_revision:?} are missing"),
    }))
}

/// Reads the pages that a root names; `None` if one of them has been deleted.
async fn load_pages<S: Store>(
    store: &S,
    root: &Root,
) -> Result<Option<(History, BTreeMap<String, Shard>)>, CommitError> {
    let Some(history) = load_history(store, root).await? else {
        return Ok(None);
    };
    let mut shards = BTreeMap::new();
    for (name, version) in &root.shards {
        let key = shard_key(name, version);
        let stored = store.get(&key).await.map_err(CommitError::NotChanged)?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        shards.insert(name.clone(), Shard::decode(&key, &stored.value)?);
    }
    Ok(Some((history, shards)))
}

async fn load_history<S: Store>(store: &S, root: &Root) -> Result<Option<History>, CommitError> {
    let key = history_key(&root.history);
    let stored = store.get(&key).await.map_err(CommitError::NotChanged)?;
    let decode = |stored: Versioned| History::decode(&key, &stored.value);
    Ok(stored.map(decode).transpose()?)
}

/// Returns the receipt of an operation, if it was accepted and is still in the history.
pub async fn find_operation<S: Store>(
    store: &S,
    operation: &str,
) -> Result<Option<Receipt>, CommitError> {
    for _ in 0..MAX_ATTEMPTS {
        let stored = store.get(ROOT_KEY).await.map_err(CommitError::NotChanged)?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let root = Root::decode(&stored.value)?;
        if let Some(history) = load_history(store, &root).await? {
            return Ok(history.receipt(operation).cloned());
        }
    }
    Err(CommitError::Unreadable(PageError {
        key: ROOT_KEY.to_owned(),
        message: "the history page was replaced during every attempt to read it".to_owned(),
    }))
}

/// Commits a change to the configuration.
///
/// If the outcome of a compare-and-swap is unknown, the configuration is read back: either the
/// history holds the operation's receipt, or the change is planned again against the current root.
pub async fn commit<S: Store>(store: &S, req: &CommitRequest) -> Result<Committed, CommitError> {
    let mut uncertain: Option<StoreError> = None;
    for _ in 0..MAX_ATTEMPTS {
        let configuration = match load_configuration(store).await {
            Ok(configuration) => configuration,
            Err(CommitError::NotChanged(e)) if uncertain.is_some() => {
                uncertain = Some(e);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            Err(e) => return Err(e),
        };
        let plan = plan_commit(
            &configuration.root,
            &configuration.history,
            &configuration.shards,
            req,
        );
        match plan.map_err(CommitError::Refused)? {
            Plan::Replayed(receipt) => {
                return Ok(Committed {
                    revision: Revision(receipt.revision),
                    is_replay: uncertain.is_none(),
                    is_change: true,
                });
            }
            Plan::Unchanged(revision) => {
                return Ok(Committed {
                    revision,
                    is_replay: false,
                    is_change: false,
                });
            }
            Plan::Write {
                pages,
                root,
                garbage,
            } => match write(store, &configuration, pages, &root).await {
                Ok(true) => {
                    delete_garbage(store, garbage).await;
                    return Ok(Committed {
                        revision: root.revision(),
                        is_replay: false,
                        is_change: true,
                    });
                }
                Ok(false) => {}
                Err(WriteError::Page(e)) if uncertain.is_none() => {
                    return Err(CommitError::NotChanged(e));
                }
                Err(WriteError::Page(e) | WriteError::Root(e)) => {
                    uncertain = Some(e);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
        }
    }
    Err(CommitError::Uncertain(uncertain.unwrap_or(StoreError {
        step: "swap",
        key: ROOT_KEY.to_owned(),
        address: String::new(),
        message: "another writer won every compare-and-swap".to_owned(),
    })))
}

/// Failure of a write, by the page that was written.
enum WriteError {
    /// The write of a shard or of the history, which cannot have changed the configuration.
    Page(StoreError),
    /// The swap of the root, which may have changed the configuration.
    Root(StoreError),
}

/// Writes the pages, then swaps the root; returns false if another writer changed the root first.
async fn write<S: Store>(
    store: &S,
    configuration: &Configuration,
    pages: Vec<(String, Vec<u8>)>,
    root: &Root,
) -> Result<bool, WriteError> {
    for (key, value) in pages {
        store
            .put(&key, value.into())
            .await
            .map_err(WriteError::Page)?;
    }
    store
        .compare_and_swap(ROOT_KEY, root.encode().into(), configuration.index)
        .await
        .map_err(WriteError::Root)
}

/// Deletes replaced pages; a page that cannot be deleted only takes up space.
async fn delete_garbage<S: Store>(store: &S, garbage: Vec<String>) {
    for key in garbage {
        if let Err(e) = store.delete(&key).await {
            log::debug!(step = "delete old page"; "{e}");
        }
    }
}
