//! Entry point of the client and the implementation of its commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use cactusbarrow_document::{Object, ObjectKey, ObjectKind, json_schema, validate};
use cactusbarrow_platform::{
    CommitRequest, Configuration, ConsulStore, Edit, StoredObject, commit, find_operation,
    load_configuration, shard_of,
};
use cactusbarrow_policy::Revision;

use crate::exit::ClientError;
use crate::explain::explain;
use crate::flags::{Cactusbarrow, CactusbarrowCmd};
use crate::input::{read_edits, read_files, read_key};
use crate::output::{ObjectReport, Report, print, print_error};
use crate::status;

const EXIT_USAGE: u8 = 2;
const EXIT_FAILED: u8 = 1;

/// Runs the client.
///
/// Exit codes: 0 success, 1 not found or failed to start, 2 invalid command line, 3 invalid
/// documents, 4 conflict, 5 outcome of the commit unknown, 6 store unavailable.
pub fn main() -> ExitCode {
    let flags = match Cactusbarrow::from_env() {
        Ok(flags) => flags,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("cannot start the async runtime");
        return ExitCode::from(EXIT_FAILED);
    };
    let json = flags.json;
    match runtime.block_on(run(flags)) {
        Ok(Some(report)) => {
            print(&report, json);
            ExitCode::SUCCESS
        }
        Ok(None) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(&e, json);
            ExitCode::from(e.exit_code())
        }
    }
}

async fn run(flags: Cactusbarrow) -> Result<Option<Report>, ClientError> {
    let default_store = SocketAddr::from(([127, 0, 0, 1], 8500));
    let store = ConsulStore::new(flags.store.unwrap_or(default_store));
    match flags.subcommand {
        CactusbarrowCmd::Validate(cmd) => validate_files(&cmd.files).map(Some),
        CactusbarrowCmd::Plan(cmd) => {
            let edits = read_edits(&cmd.files, &cmd.delete)?;
            plan(&store, &edits).await.map(Some)
        }
        CactusbarrowCmd::Apply(cmd) => {
            let edits = read_edits(&cmd.files, &cmd.delete)?;
            let base = cmd.expected_revision.map(Revision);
            apply(&store, edits, cmd.operation, base).await.map(Some)
        }
        CactusbarrowCmd::Get(cmd) => get(&store, cmd.key.as_deref()).await.map(Some),
        CactusbarrowCmd::Status(cmd) => show_status(&store, &cmd.process).await.map(Some),
        CactusbarrowCmd::Drain(cmd) => set_draining(&store, &cmd.name, true, cmd.operation)
            .await
            .map(Some),
        CactusbarrowCmd::Undrain(cmd) => set_draining(&store, &cmd.name, false, cmd.operation)
            .await
            .map(Some),
        CactusbarrowCmd::Operation(cmd) => {
            let receipt = find_operation(&store, &cmd.id)
                .await
                .map_err(|e| ClientError::from_commit(e, &cmd.id))?;
            Ok(Some(Report::Operation {
                operation: cmd.id,
                revision: receipt.map(|r| r.revision),
            }))
        }
        CactusbarrowCmd::Explain(cmd) => Ok(Some(Report::Explanation {
            lines: explain(&cmd.request_id, &cmd.files)?,
            request_id: cmd.request_id,
        })),
        CactusbarrowCmd::Schema(_) => {
            println!("{:#}", json_schema());
            Ok(None)
        }
    }
}

fn validate_files(files: &[PathBuf]) -> Result<Report, ClientError> {
    let objects = read_files(files)?;
    let errors = validate(&objects);
    if errors.is_empty() {
        return Ok(Report::Valid {
            objects: objects.len(),
        });
    }
    let errors = errors.iter().map(ToString::to_string).collect();
    Err(ClientError::Invalid(errors))
}

async fn load(store: &ConsulStore) -> Result<Configuration, ClientError> {
    load_configuration(store)
        .await
        .map_err(|e| ClientError::from_commit(e, ""))
}

fn find_object<'a>(configuration: &'a Configuration, key: &ObjectKey) -> Option<&'a StoredObject> {
    let shard = configuration.shards.get(&shard_of(key))?;
    shard.objects.get(&key.to_string())
}

async fn plan(store: &ConsulStore, edits: &[Edit]) -> Result<Report, ClientError> {
    let configuration = load(store).await?;
    let mut planned_objects: std::collections::BTreeMap<String, Object> = configuration
        .shards
        .values()
        .flat_map(|shard| &shard.objects)
        .map(|(key, stored)| (key.clone(), stored.object.clone()))
        .collect();
    let (mut create, mut replace, mut delete) = (Vec::new(), Vec::new(), Vec::new());
    for edit in edits {
        let key = edit.key();
        let name = key.to_string();
        let current = find_object(&configuration, &key).map(|stored| &stored.object);
        match edit {
            Edit::Set(object) if current == Some(object) => {}
            Edit::Set(object) => {
                let list = if current.is_some() {
                    &mut replace
                } else {
                    &mut create
                };
                list.push(name.clone());
                planned_objects.insert(name, object.clone());
            }
            Edit::Delete(_) if current.is_some() => {
                planned_objects.remove(&name);
                delete.push(name);
            }
            Edit::Delete(_) => {}
        }
    }
    let errors = validate(planned_objects.values());
    if !errors.is_empty() {
        let errors = errors.iter().map(ToString::to_string).collect();
        return Err(ClientError::Invalid(errors));
    }
    Ok(Report::Plan {
        revision: configuration.root.revision,
        create,
        replace,
        delete,
    })
}

async fn apply(
    store: &ConsulStore,
    edits: Vec<Edit>,
    operation: Option<String>,
    base: Option<Revision>,
) -> Result<Report, ClientError> {
    let operation = operation.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let base = match base {
        Some(base) => base,
        None => load(store).await?.root.revision(),
    };
    let req = CommitRequest {
        operation,
        base,
        edits,
    };
    let committed = commit(store, &req)
        .await
        .map_err(|e| ClientError::from_commit(e, &req.operation))?;
    Ok(Report::Accepted {
        operation: req.operation,
        revision: committed.revision.0,
        replay: committed.is_replay,
        changed: committed.is_change,
    })
}

async fn set_draining(
    store: &ConsulStore,
    name: &str,
    draining: bool,
    operation: Option<String>,
) -> Result<Report, ClientError> {
    let configuration = load(store).await?;
    let key = ObjectKey {
        kind: ObjectKind::BackendServer,
        name: name.to_owned(),
    };
    let object = find_object(&configuration, &key).map(|stored| stored.object.clone());
    let Some(Object::BackendServer(mut server)) = object else {
        return Err(ClientError::NotFound(format!("{key} does not exist")));
    };
    server.draining = draining;
    let edits = vec![Edit::Set(Object::BackendServer(server))];
    let base = configuration.root.revision();
    apply(store, edits, operation, Some(base)).await
}

async fn get(store: &ConsulStore, key: Option<&str>) -> Result<Report, ClientError> {
    let key = key.map(read_key).transpose()?;
    let configuration = load(store).await?;
    let is_selected = |name: &str| key.as_ref().is_none_or(|key| key.to_string() == name);
    let objects: Vec<ObjectReport> = configuration
        .shards
        .values()
        .flat_map(|shard| &shard.objects)
        .filter(|(name, _)| is_selected(name))
        .map(|(name, stored)| ObjectReport {
            key: name.clone(),
            revision: stored.revision,
            object: serde_json::to_value(&stored.object).unwrap_or_default(),
        })
        .collect();
    if let (Some(key), true) = (&key, objects.is_empty()) {
        return Err(ClientError::NotFound(format!("{key} does not exist")));
    }
    Ok(Report::Objects {
        revision: configuration.root.revision,
        objects,
    })
}

async fn show_status(store: &ConsulStore, processes: &[SocketAddr]) -> Result<Report, ClientError> {
    let configuration = load(store).await?;
    let mut reports = Vec::new();
    for addr in processes {
        reports.push(status::query(*addr).await);
    }
    Ok(Report::Status {
        revision: configuration.root.revision,
        objects: configuration
            .shards
            .values()
            .map(|shard| shard.objects.len())
            .sum(),
        processes: reports,
    })
}
