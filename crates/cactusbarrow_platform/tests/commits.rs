//! Commits of configuration changes: conflicts, retries and lost responses, and what readers of the
//! configuration see of them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_document::{Customer, ModelVersion, Object, hash_api_key};
use cactusbarrow_platform::{
    CommitError, CommitRequest, ConfigReader, Edit, History, Plan, PlanError, Root, Shard, Store,
    StoreError, Versioned, commit, plan_commit,
};
use cactusbarrow_policy::{AdoptedConfig, Revision};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// What becomes of a write to the fake store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    /// The write is made, and the response arrives.
    Acknowledged,
    /// The write is made, but its response is lost.
    ResponseLost,
    /// The write is lost on its way to the store.
    RequestLost,
}

#[derive(Clone, Default)]
struct FakeStore {
    state: Arc<Mutex<FakeState>>,
}

#[derive(Default)]
struct FakeState {
    index: u64,
    values: BTreeMap<String, (u64, Bytes)>,
    /// Outcomes of the next writes, the next one last; later writes are acknowledged.
    outcomes: Vec<WriteOutcome>,
}

impl FakeStore {
    fn with_outcomes(outcomes: Vec<WriteOutcome>) -> Self {
        let store = Self::default();
        store.state.lock().unwrap().outcomes = outcomes;
        store
    }

    fn remove_shards(&self) {
        let is_shard = |key: &str| key.starts_with("cactusbarrow/shards/");
        let mut state = self.state.lock().unwrap();
        state.values.retain(|key, _| !is_shard(key));
    }

    fn write(&self, key: &str, f: impl FnOnce(&mut FakeState) -> bool) -> Result<bool, StoreError> {
        let mut state = self.state.lock().unwrap();
        let outcome = state.outcomes.pop().unwrap_or(WriteOutcome::Acknowledged);
        let is_done = outcome != WriteOutcome::RequestLost && f(&mut state);
        if outcome == WriteOutcome::Acknowledged {
            return Ok(is_done);
        }
        Err(StoreError {
            step: "write",
            key: key.to_owned(),
            address: "fake".to_owned(),
            message: format!("{outcome:?}"),
        })
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let state = self.state.lock().unwrap();
        Ok(state.values.get(key).map(|(index, value)| Versioned {
            value: value.clone(),
            index: *index,
        }))
    }

    async fn watch(&self, key: &str, _: u64, _: Duration) -> Result<Option<Versioned>, StoreError> {
        self.get(key).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: Bytes,
        expected: u64,
    ) -> Result<bool, StoreError> {
        self.write(key, |state| {
            let held = state.values.get(key).map_or(0, |v| v.0);
            if held == expected {
                state.index += 1;
                state.values.insert(key.to_owned(), (state.index, value));
            }
            held == expected
        })
    }

    async fn put(&self, key: &str, value: Bytes) -> Result<(), StoreError> {
        let put = |state: &mut FakeState| {
            state.index += 1;
            state.values.insert(key.to_owned(), (state.index, value));
            true
        };
        self.write(key, put).map(|_| ())
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let delete = |state: &mut FakeState| state.values.remove(key).is_some();
        self.write(key, delete).map(|_| ())
    }
}

fn version(name: &str, weights: &str) -> Object {
    Object::ModelVersion(ModelVersion {
        name: name.to_owned(),
        model: "m".to_owned(),
        weights: weights.to_owned(),
        adapters: Vec::new(),
    })
}

fn request(operation: &str, base: u64, edits: Vec<Edit>) -> CommitRequest {
    CommitRequest {
        operation: operation.to_owned(),
        base: Revision(base),
        edits,
    }
}

fn set(operation: &str, base: u64, name: &str, weights: &str) -> CommitRequest {
    request(operation, base, vec![Edit::Set(version(name, weights))])
}

fn plan_error(error: CommitError) -> PlanError {
    match error {
        CommitError::Refused(e) => e,
        other => panic!("unexpected error: {other}"),
    }
}

#[tokio::test(start_paused = true)]
async fn retry_of_accepted_operation_returns_its_revision() {
    let store = FakeStore::default();
    let req = set("op-1", 0, "v1", "a");
    let first = commit(&store, &req).await.unwrap();
    let again = commit(&store, &req).await.unwrap();
    assert_eq!((first.revision, again.revision), (Revision(1), Revision(1)));
    assert!(!first.is_replay && again.is_replay);
    let other = set("op-1", 1, "v1", "b");
    let error = plan_error(commit(&store, &other).await.unwrap_err());
    assert!(matches!(error, PlanError::OperationReused { .. }));
}

#[tokio::test(start_paused = true)]
async fn conflict_names_objects_changed_since_base() {
    let store = FakeStore::default();
    commit(&store, &set("op-1", 0, "v1", "a")).await.unwrap();
    commit(&store, &set("op-2", 1, "v1", "b")).await.unwrap();
    let error = plan_error(
        commit(&store, &set("op-3", 1, "v1", "c"))
            .await
            .unwrap_err(),
    );
    assert_eq!(
        error.to_string(),
        "conflict at revision 2: model_version/v1 was changed in revision 2;"
    );
    let disjoint = commit(&store, &set("op-4", 1, "v2", "d")).await.unwrap();
    assert_eq!(
        disjoint.revision,
        Revision(3),
        "changes to other objects do not conflict"
    );
    let delete = Edit::Delete("model_version/v2".parse().unwrap());
    commit(&store, &request("op-5", 3, vec![delete]))
        .await
        .unwrap();
    let error = plan_error(
        commit(&store, &set("op-6", 3, "v2", "e"))
            .await
            .unwrap_err(),
    );
    assert!(
        matches!(error, PlanError::Conflict { .. }),
        "a deletion conflicts, too"
    );
}

#[tokio::test(start_paused = true)]
async fn lost_swap_response_is_resolved_by_reading_back() {
    // Outcomes are taken from the end: the writes of the two pages, then the swap of the root.
    let acknowledged = WriteOutcome::Acknowledged;
    let store =
        FakeStore::with_outcomes(vec![WriteOutcome::ResponseLost, acknowledged, acknowledged]);
    let done = commit(&store, &set("op-1", 0, "v1", "a")).await.unwrap();
    assert_eq!(done.revision, Revision(1));
    let store =
        FakeStore::with_outcomes(vec![WriteOutcome::RequestLost, acknowledged, acknowledged]);
    let done = commit(&store, &set("op-1", 0, "v1", "a")).await.unwrap();
    assert_eq!(
        done.revision,
        Revision(1),
        "a swap that was not made is repeated"
    );
}

#[tokio::test(start_paused = true)]
async fn invalid_change_writes_nothing() {
    let store = FakeStore::default();
    let customer = Object::Customer(Customer {
        name: "c".to_owned(),
        key_sha256: hash_api_key("k"),
        max_in_flight: 1,
        tokens_per_second: 1,
        services: vec!["nowhere".to_owned()],
    });
    let req = request("op-1", 0, vec![Edit::Set(customer)]);
    let error = plan_error(commit(&store, &req).await.unwrap_err());
    assert!(matches!(&error, PlanError::Invalid(errors) if errors.len() == 1));
    assert!(store.state.lock().unwrap().values.is_empty());
}

/// Guards against reads of shards for changes that the root contains; the shards are removed, so
/// such a read would fail.
#[tokio::test(start_paused = true)]
async fn watcher_reads_recent_changes_from_the_root_alone() {
    let store = FakeStore::default();
    commit(&store, &set("op-1", 0, "v1", "a")).await.unwrap();
    let mut reader = ConfigReader::new();
    let first_delta = reader
        .next_delta(&store, Duration::ZERO)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(first_delta.from, Revision(0));
    commit(&store, &set("op-2", 1, "v2", "b")).await.unwrap();
    commit(&store, &set("op-3", 2, "v1", "c")).await.unwrap();
    store.remove_shards();
    let delta = reader
        .next_delta(&store, Duration::ZERO)
        .await
        .unwrap()
        .unwrap();
    assert_eq!((delta.from, delta.to), (Revision(1), Revision(3)));
    assert_eq!(delta.changes.len(), 2);
    let mut adopted_config = AdoptedConfig::new();
    assert_eq!(adopted_config.adopt(&first_delta), Ok(true));
    assert_eq!(adopted_config.adopt(&delta), Ok(true), "the digest matches");
}

fn fixed_seed_config() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x0cac_7050),
        failure_persistence: None,
        ..Config::default()
    }
}

fn write_outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        6 => Just(WriteOutcome::Acknowledged),
        1 => Just(WriteOutcome::ResponseLost),
        1 => Just(WriteOutcome::RequestLost),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn reader_converges_to_accepted_changes(
        changes in prop::collection::vec((0..5_u8, prop::option::weighted(0.8, 0..9_u8), any::<bool>()), 1..30),
        outcomes in prop::collection::vec(write_outcome(), 0..80),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let store = FakeStore::with_outcomes(outcomes);
            let mut reader = ConfigReader::new();
            let mut adopted_config = AdoptedConfig::new();
            let mut expected: BTreeMap<String, String> = BTreeMap::new();
            let mut revision = 0;
            for (i, (name, value, read)) in changes.into_iter().enumerate() {
                let key = format!("model_version/v{name}");
                let edit = match value {
                    Some(value) => Edit::Set(version(&format!("v{name}"), &value.to_string())),
                    None => Edit::Delete(key.parse().unwrap()),
                };
                let req = request(&format!("op-{i}"), revision, vec![edit.clone()]);
                match commit(&store, &req).await {
                    Ok(done) => {
                        prop_assert!(done.revision.0 >= revision);
                        revision = done.revision.0;
                        match edit {
                            Edit::Set(object) => expected.insert(key, object.to_json()),
                            Edit::Delete(_) => expected.remove(&key),
                        };
                    }
                    Err(CommitError::NotChanged(_)) => {}
                    Err(e) => prop_assert!(false, "unexpected error: {e}"),
                }
                if read && let Some(delta) = reader.next_delta(&store, Duration::ZERO).await.unwrap() {
                    adopted_config.adopt(&delta).unwrap();
                }
            }
            if let Some(delta) = reader.next_delta(&store, Duration::ZERO).await.unwrap() {
                adopted_config.adopt(&delta).unwrap();
            }
            let got: BTreeMap<String, String> = adopted_config
                .objects()
                .map(|(key, _, value)| (key.to_owned(), value.to_owned()))
                .collect();
            prop_assert_eq!(got, expected);
            prop_assert_eq!(adopted_config.revision(), Revision(revision));
            Ok(())
        })?;
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Root::decode(&bytes).is_err() || !bytes.is_empty());
        prop_assert!(Shard::decode("key", &bytes).is_err() || !bytes.is_empty());
    }
}

/// Guards against pages that grow with the number of operations.
#[test]
fn root_and_history_sizes_are_bounded() {
    let mut root = Root::default();
    let mut history = History::default();
    let mut shards: BTreeMap<String, Shard> = BTreeMap::new();
    for i in 0..400_u64 {
        let req = set(&format!("op-{i}"), root.revision, "v1", &i.to_string());
        let plan = plan_commit(&root, &history, &shards, &req).unwrap();
        let Plan::Write {
            root: next, pages, ..
        } = plan
        else {
            panic!("a change of an object must write pages");
        };
        root = *next;
        for (key, value) in pages {
            if key.starts_with("cactusbarrow/history/") {
                history = History::decode(&key, &value).unwrap();
                continue;
            }
            let name = key.split('/').nth(2).unwrap().to_owned();
            shards.insert(name, Shard::decode(&key, &value).unwrap());
        }
    }
    assert!(
        root.encode().len() < 4 << 10,
        "{} bytes",
        root.encode().len()
    );
    assert!(
        history.encode().len() < 64 << 10,
        "{} bytes",
        history.encode().len()
    );
    assert!(history.receipt("op-399").is_some());
    assert!(history.receipt("op-1").is_none());
}
