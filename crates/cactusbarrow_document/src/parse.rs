//! Parsing of document files.

use crate::Object;

/// Largest document file that is accepted, in bytes.
const MAX_FILE_BYTES: usize = 8 << 20;

/// A document file that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {message}")]
pub struct ParseError {
    /// Name of the file.
    pub file: String,
    /// Cause of the failure, with line, column and field if known.
    pub message: String,
}

/// Parses the objects of a YAML file; `---` separates documents.
///
/// `file` names the file in errors.
pub fn parse_objects(file: &str, text: &str) -> Result<Vec<Object>, ParseError> {
    let error = |message: String| ParseError {
        file: file.to_owned(),
        message,
    };
    if text.len() > MAX_FILE_BYTES {
        return Err(error(format!("larger than {MAX_FILE_BYTES} bytes")));
    }
    serde_saphyr::from_multiple(text).map_err(|e| error(e.to_string()))
}
