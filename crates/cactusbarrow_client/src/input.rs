//! Reading of document files and keys from the command line.

use std::path::PathBuf;

use cactusbarrow_document::{Object, ObjectKey, parse_objects};
use cactusbarrow_platform::Edit;

use crate::exit::ClientError;

/// Reads the objects of all files, or names what is wrong with each file.
pub(crate) fn read_files(files: &[PathBuf]) -> Result<Vec<Object>, ClientError> {
    let mut objects = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Err(e) => faults.push(format!("{name}: {e}")),
            Ok(text) => match parse_objects(&name, &text) {
                Ok(parsed) => objects.extend(parsed),
                Err(e) => faults.push(e.to_string()),
            },
        }
    }
    if faults.is_empty() {
        Ok(objects)
    } else {
        Err(ClientError::Invalid(faults))
    }
}

/// Reads files and keys as the edits of one change.
pub(crate) fn read_edits(files: &[PathBuf], deletes: &[String]) -> Result<Vec<Edit>, ClientError> {
    let mut edits: Vec<Edit> = read_files(files)?.into_iter().map(Edit::Set).collect();
    for key in deletes {
        edits.push(Edit::Delete(read_key(key)?));
    }
    let mut keys: Vec<String> = edits.iter().map(|edit| edit.key().to_string()).collect();
    keys.sort();
    let twice: Vec<String> = keys
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| format!("{}: is edited twice", pair[0]))
        .collect();
    if !twice.is_empty() {
        return Err(ClientError::Invalid(twice));
    }
    if edits.is_empty() {
        let message = "no file and no --delete is given".to_owned();
        return Err(ClientError::Invalid(vec![message]));
    }
    Ok(edits)
}

/// Reads the key of an object.
pub(crate) fn read_key(key: &str) -> Result<ObjectKey, ClientError> {
    key.parse()
        .map_err(|e| ClientError::Invalid(vec![format!("{e}")]))
}
