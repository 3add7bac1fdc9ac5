//! Errors of commands and their exit codes.

use std::fmt;

use cactusbarrow_platform::{CommitError, PlanError};

/// Reason why a command failed.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// A file, a command-line argument or the resulting configuration is invalid.
    Invalid(Vec<String>),
    /// The objects have changed since the base revision, or the operation's ID was used for another
    /// change.
    Conflict(String),
    /// The commit may or may not have taken effect.
    Uncertain {
        /// ID of the operation.
        operation: String,
        /// Description of the error.
        message: String,
    },
    /// The store or its configuration cannot be read or written; nothing was changed.
    Unavailable(String),
    /// The requested object, file or request does not exist.
    NotFound(String),
}

impl ClientError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NotFound(_) => 1,
            Self::Invalid(_) => 3,
            Self::Conflict(_) => 4,
            Self::Uncertain { .. } => 5,
            Self::Unavailable(_) => 6,
        }
    }

    /// Returns the `kind` of the error in JSON output.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::NotFound(_) => "not_found",
            Self::Invalid(_) => "invalid",
            Self::Conflict(_) => "conflict",
            Self::Uncertain { .. } => "uncertain",
            Self::Unavailable(_) => "unavailable",
        }
    }

    /// Converts a commit error of the named operation.
    pub(crate) fn from_commit(error: CommitError, operation: &str) -> Self {
        match error {
            CommitError::Refused(PlanError::Invalid(errors)) => {
                Self::Invalid(errors.iter().map(ToString::to_string).collect())
            }
            CommitError::Refused(e @ PlanError::TooLarge { .. }) => {
                Self::Invalid(vec![e.to_string()])
            }
            CommitError::Refused(e) => Self::Conflict(e.to_string()),
            CommitError::Uncertain(e) => Self::Uncertain {
                operation: operation.to_owned(),
                message: e.to_string(),
            },
            e @ (CommitError::NotChanged(_) | CommitError::Unreadable(_)) => {
                Self::Unavailable(e.to_string())
            }
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(errors) => f.write_str(&errors.join("\n")),
            Self::Uncertain { operation, message } => write!(
                f,
                "{message}\nto check the outcome, run: cactusbarrow operation {operation}"
            ),
            Self::Conflict(message) | Self::Unavailable(message) | Self::NotFound(message) => {
                f.write_str(message)
            }
        }
    }
}

impl std::error::Error for ClientError {}
