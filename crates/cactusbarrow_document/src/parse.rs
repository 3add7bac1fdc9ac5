//! Reading of document files.

use crate::Object;

/// Largest document file that is read, in bytes.
const MAX_FILE_BYTES: usize = 8 << 20;

/// A document file that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {message}")]
pub struct ParseError {
    /// The file.
    pub file: String,
    /// What is wrong, with line, column and field.
    pub message: String,
}

/// Reads the objects of a YAML file; documents are parted by `---`.
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
