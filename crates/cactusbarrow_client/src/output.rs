//! What commands print, as text or JSON.

use serde::Serialize;

use crate::exit::ClientError;

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub(crate) enum Report {
    /// Documents have no faults.
    Valid {
        /// Number of objects.
        objects: usize,
    },
    /// What a change would do.
    Plan {
        /// The revision in force.
        revision: u64,
        /// Objects it would create.
        create: Vec<String>,
        /// Objects it would replace.
        replace: Vec<String>,
        /// Objects it would delete.
        delete: Vec<String>,
    },
    /// A change is in force.
    Accepted {
        /// Name of the operation.
        operation: String,
        /// The revision it led to.
        revision: u64,
        /// Whether an earlier try had been accepted.
        replay: bool,
        /// Whether anything changed.
        changed: bool,
    },
    /// What logs tell about a request.
    Course {
        /// Its id.
        request_id: String,
        /// Lines, oldest first, with times relative to the request's first.
        lines: Vec<String>,
    },
    /// Objects in force.
    Objects {
        /// The revision in force.
        revision: u64,
        /// The objects.
        objects: Vec<ObjectReport>,
    },
    /// State of the store and of processes.
    Status {
        /// The revision in force in the store.
        revision: u64,
        /// Number of objects.
        objects: usize,
        /// State of each process asked.
        processes: Vec<ProcessReport>,
    },
    /// Whether an operation was accepted.
    Operation {
        /// Name of the operation.
        operation: String,
        /// The revision it led to; absent if no receipt is held.
        revision: Option<u64>,
    },
}

/// One object in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ObjectReport {
    /// Its kind and name.
    pub(crate) key: String,
    /// The revision that set it.
    pub(crate) revision: u64,
    /// The object.
    pub(crate) object: serde_json::Value,
}

/// State of one process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ProcessReport {
    /// Its admin address.
    pub(crate) address: String,
    /// What it says of itself.
    pub(crate) status: Option<serde_json::Value>,
    /// Why it says nothing.
    pub(crate) error: Option<String>,
}

/// Prints a result.
pub(crate) fn print(report: &Report, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        println!("{}", text_of(report));
    }
}

/// Prints an error.
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

fn text_of(report: &Report) -> String {
    match report {
        Report::Valid { objects } => format!("{objects} objects are valid"),
        Report::Plan {
            revision,
            create,
            replace,
            delete,
        } => {
            let mut lines = vec![format!("from revision {revision}:")];
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
            (false, true) => format!("operation {operation} is in force, revision {revision}"),
            (false, false) => format!("nothing to change, revision {revision}"),
        },
        Report::Course { lines, .. } => lines.join("\n"),
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
            format!("no receipt of operation {operation} is held: it was not accepted, or long ago")
        }
    }
}
