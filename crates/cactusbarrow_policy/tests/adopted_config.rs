//! Processes that adopt deltas from the store and from peers, in any order, converge and never
//! return to an older revision.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusbarrow_policy::{AdoptedConfig, Change, Delta, Digest, Revision};
use common::fixed_seed_config;
use proptest::prelude::*;

/// Reference model: every state of the accepted configuration and the changes between them.
struct History {
    states: Vec<BTreeMap<String, (u64, String)>>,
    changes: Vec<Change>,
}

impl History {
    /// Creates a history; each edit sets an object, or deletes it if the value is `None`.
    fn new(edits: &[(u8, Option<u8>)]) -> Self {
        let mut states = vec![BTreeMap::new()];
        let mut changes = Vec::new();
        for (i, (key, value)) in edits.iter().enumerate() {
            let revision = i as u64 + 1;
            let key = format!("object/{key}");
            let mut state = states.last().unwrap().clone();
            match value {
                Some(value) => state.insert(key.clone(), (revision, value.to_string())),
                None => state.remove(&key),
            };
            states.push(state);
            changes.push(Change {
                key: key.into(),
                value: value.map(|v| v.to_string().into()),
                revision: Revision(revision),
            });
        }
        Self { states, changes }
    }

    fn digest(&self, revision: usize) -> Digest {
        self.states[revision]
            .iter()
            .fold(Digest::default(), |digest, (key, (revision, _))| {
                digest.toggle(key, Revision(*revision))
            })
    }

    /// Returns the delta that a watcher of the store reports between two revisions.
    fn delta(&self, from: usize, to: usize) -> Delta {
        let changes = if from == 0 {
            let set = self.states[to]
                .iter()
                .map(|(key, (revision, value))| Change {
                    key: key.as_str().into(),
                    value: Some(value.as_str().into()),
                    revision: Revision(*revision),
                });
            set.collect()
        } else {
            self.changes[from..to].to_vec()
        };
        Delta {
            from: Revision(from as u64),
            to: Revision(to as u64),
            changes,
            digest: self.digest(to),
        }
    }
}

fn contents(config: &AdoptedConfig) -> BTreeMap<String, (u64, String)> {
    config
        .objects()
        .map(|(key, revision, value)| (key.to_owned(), (revision.0, value.to_owned())))
        .collect()
}

fn edits() -> impl Strategy<Value = Vec<(u8, Option<u8>)>> {
    prop::collection::vec((0..6_u8, prop::option::weighted(0.8, any::<u8>())), 1..40)
}

proptest! {
    #![proptest_config(fixed_seed_config(1_000))]

    #[test]
    fn processes_converge_and_never_revert(
        edits in edits(),
        steps in prop::collection::vec((0..4_usize, 0..4_usize, any::<(u8, u8)>(), any::<bool>()), 1..120),
    ) {
        let history = History::new(&edits);
        let mut processes = vec![AdoptedConfig::new(); 4];
        for (to, from, (a, b), restart) in steps {
            let before = processes[to].revision();
            let delta = if to == from {
                let a = a as usize % history.states.len();
                let b = b as usize % history.states.len();
                history.delta(a.min(b), a.max(b))
            } else {
                processes[from].delta_since(before)
            };
            let adopted = processes[to].adopt(&delta);
            let after = processes[to].revision();
            prop_assert!(after >= before);
            prop_assert_eq!(adopted == Ok(true), after > before);
            prop_assert_eq!(
                contents(&processes[to]),
                history.states[after.0 as usize].clone()
            );
            if to != from {
                prop_assert!(adopted.is_ok(), "a peer's delta always applies: {:?}", adopted);
                prop_assert!(after >= processes[from].revision());
            }
            if restart && a == 0 {
                processes[to] = AdoptedConfig::new();
            }
        }
    }

    /// Guards against the adoption of some changes of a delta whose digest turns out to be wrong.
    #[test]
    fn delta_with_wrong_digest_changes_nothing(edits in edits(), at in any::<usize>()) {
        let history = History::new(&edits);
        let last = history.states.len() - 1;
        let mut delta = history.delta(0, last);
        if delta.changes.is_empty() {
            return Ok(());
        }
        let at = at % delta.changes.len();
        delta.changes[at].key = Arc::from("object/none");
        let mut config = AdoptedConfig::new();
        prop_assert!(config.adopt(&delta).is_err());
        prop_assert_eq!(config.revision(), Revision(0));
        prop_assert_eq!(config.objects().count(), 0);
    }
}
