//! Output of commands, as text or JSON.

use serde::Serialize;

use crate::exit::ClientError;

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub(crate) enum Report {
    /// The documents are valid.
    Valid {
        /// Number of objects in the documents.
        objects: usize,
    },
    /// Effects of a change that is not committed.
    Plan {
        /// Current revision, to which the change would apply.
        revision: u64,
        /// Keys of the objects that the change would create.
        create: Vec<String>,
        /// Keys of the objects that the change would replace.
        replace: Vec<String>,
        /// Keys of the objects that the change would delete.
        delete: Vec<String>,
    },
    /// A change is committed.
    Accepted {
        /// ID of the operation.
        operation: String,
        /// Revision that the commit created, or the current one if nothing changed.
        revision: u64,
        /// Whether an earlier attempt of the operation had already been accepted.
        replay: bool,
        /// Whether the commit changed any object.
        changed: bool,
    },
    /// Log lines that concern a request.
    #[serde(rename = "course")]
    Explanation {
        /// ID of the request.
        request_id: String,
        /// Formatted lines, oldest first, with times relative to the first line of the request.
        lines: Vec<String>,
    },
    /// Objects of the current configuration.
    Objects {
        /// Current revision.
        revision: u64,
        /// Selected objects.
        objects: Vec<ObjectReport>,
    },
    /// State of the store and of processes.
    Status {
        /// Current revision in the store.
        revision: u64,
        /// Number of objects in the store.
        objects: usize,
        /// State of each queried process.
        processes: Vec<ProcessReport>,
    },
    /// Whether an operation was accepted.
    Operation {
        /// ID of the operation.
        operation: String,
        /// Revision that the operation created; absent if the store holds no receipt of it.
        revision: Option<u64>,
    },
}

/// One object of the current configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ObjectReport {
    /// Key of the object, as kind/name.
    pub(crate) key: String,
    /// Revision in which the object was last set.
    pub(crate) revision: u64,
    /// The object as JSON.
    pub(crate) object: serde_json::Value,
}

/// State of one queried process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ProcessReport {
    /// Admin address of the process.
    pub(crate) address: String,
    /// Response of the process; absent if the query failed.
    pub(crate) status: Option<serde_json::Value>,
    /// Reason why the query failed.
    pub(crate) error: Option<String>,
}

/// Prints a result to standard output.
pub(crate) fn print(report: &Report, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        println!("{}", format_text(report));
    }
}

/// Prints an error: as JSON to standard output, or as text to standard error.
pub(crate) fn print_error(error: &ClientError, json: bool) {
    if json {
        let value = serde_json::json!({
            "result": "error",
            "kind": error.kind(),
            "message": error.to_string(),
        });
        println!("{value}");
    } else {
        eprintln!("{error}");
    }
}

fn format_text(report: &Report) -> String {
    match report {
        Report::Valid { objects } => format!("{objects} objects are valid"),
        Report::Plan {
            revision,
            create,
            replace,
            delete,
        } => {
            let mut lines = vec![format!("changes from revision {revision}:")];
            lines.extend(create.iter().map(|key| format!("  create  {key}")));
            lines.extend(replace.iter().map(|key| format!("  replace {key}")));
            lines.extend(delete.iter().map(|key| format!("  delete  {key}")));
            if lines.len() == 1 {
                lines.push("  nothing to change".to_owned());
            }
            lines.join("\n")
        }
        Report::Accepted {
            operation,
            revision,
            replay,
            changed,
        } => match (replay, changed) {
            (true, _) => format!("operation {operation} was accepted before, revision {revision}"),
            (false, true) => format!("operation {operation} committed, revision {revision}"),
            (false, false) => format!("nothing to change, revision {revision}"),
        },
        Report::Explanation { lines, .. } => lines.join("\n"),
        Report::Objects { objects, .. } => objects
            .iter()
            .map(|o| format!("{} (revision {})\n{:#}", o.key, o.revision, o.object))
            .collect::<Vec<_>>()
            .join("\n"),
        Report::Status {
            revision,
            objects,
            processes,
        } => {
            let mut lines = vec![format!("store: revision {revision}, {objects} objects")];
            lines.extend(processes.iter().map(|p| match (&p.status, &p.error) {
                (Some(status), _) => format!("{}: {status}", p.address),
                (None, error) => format!("{}: {}", p.address, error.as_deref().unwrap_or("")),
            }));
            lines.join("\n")
        }
        Report::Operation {
            operation,
            revision: Some(revision),
        } => format!("operation {operation} was accepted, revision {revision}"),
        Report::Operation {
            operation,
            revision: None,
        } => {
            format!("no receipt of operation {operation}: not accepted, or its receipt was evicted")
        }
    }
}
