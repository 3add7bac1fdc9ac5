//! Exit codes, and the errors that lead to them.

use std::fmt;

use cactusbarrow_platform::{CommitError, PlanError};

/// Why a command did not do what it was asked.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// A file, or the configuration it would lead to, has faults.
    Invalid(Vec<String>),
    /// Something was changed by someone else, or the operation's name was used before.
    Conflict(String),
    /// The change may be in force.
    Uncertain {
        /// Name of the operation.
        operation: String,
        /// What went wrong.
        message: String,
    },
    /// The store does not answer; nothing was changed.
    Unavailable(String),
    /// What was asked for does not exist.
    NotFound(String),
}

impl ClientError {
    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::NotFound(_) => 1,
            Self::Invalid(_) => 3,
            Self::Conflict(_) => 4,
            Self::Uncertain { .. } => 5,
            Self::Unavailable(_) => 6,
        }
    }

    /// Returns the word for the kind of error in JSON.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::NotFound(_) => "not_found",
            Self::Invalid(_) => "invalid",
            Self::Conflict(_) => "conflict",
            Self::Uncertain { .. } => "uncertain",
            Self::Unavailable(_) => "unavailable",
        }
    }

    /// Sorts the error of a commit.
    pub(crate) fn from_commit(error: CommitError, operation: &str) -> Self {
        match error {
            CommitError::Refused(PlanError::Invalid(faults)) => {
                Self::Invalid(faults.iter().map(ToString::to_string).collect())
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
            Self::Invalid(faults) => f.write_str(&faults.join("\n")),
            Self::Uncertain { operation, message } => write!(
                f,
                "{message}\nask again with: cactusbarrow operation {operation}"
            ),
            Self::Conflict(message) | Self::Unavailable(message) | Self::NotFound(message) => {
                f.write_str(message)
            }
        }
    }
}

impl std::error::Error for ClientError {}
