//! Reads the document files and object keys given on the command line.

use std::path::PathBuf;

use cactusbarrow_document::{Object, ObjectKey, parse_objects};
use cactusbarrow_platform::Edit;

use crate::exit::ClientError;

/// Parses the objects of all files; fails with the errors of every file.
pub(crate) fn read_files(files: &[PathBuf]) -> Result<Vec<Object>, ClientError> {
    let mut objects = Vec::new();
    let mut errors = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Err(e) => errors.push(format!("{name}: {e}")),
            Ok(text) => match parse_objects(&name, &text) {
                Ok(parsed) => objects.extend(parsed),
                Err(e) => errors.push(e.to_string()),
            },
        }
    }
    if errors.is_empty() {
        Ok(objects)
    } else {
        Err(ClientError::Invalid(errors))
    }
}

/// Reads the edits of one change: objects to set from `files`, and keys to delete.
///
/// Fails if no edit is given or if an object is edited more than once.
pub(crate) fn read_edits(files: &[PathBuf], deletes: &[String]) -> Result<Vec<Edit>, ClientError> {
    let mut edits: Vec<Edit> = read_files(files)?.into_iter().map(Edit::Set).collect();
    for key in deletes {
        edits.push(Edit::Delete(read_key(key)?));
    }
    let mut keys: Vec<String> = edits.iter().map(|edit| edit.key().to_string()).collect();
    keys.sort();
    let duplicates: Vec<String> = keys
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| format!("{}: is edited more than once", pair[0]))
        .collect();
    if !duplicates.is_empty() {
        return Err(ClientError::Invalid(duplicates));
    }
    if edits.is_empty() {
        let message = "nothing to change: give document files or --delete".to_owned();
        return Err(ClientError::Invalid(vec![message]));
    }
    Ok(edits)
}

/// Parses the key of an object, as kind/name.
pub(crate) fn read_key(key: &str) -> Result<ObjectKey, ClientError> {
    key.parse()
        .map_err(|e| ClientError::Invalid(vec![format!("{e}")]))
}
