//! Rules for the names of objects.

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Says what is wrong with an object's name, if anything.
pub(crate) fn name_fault(name: &str) -> Option<&'static str> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() {
        Some("must not be empty")
    } else if name.len() > MAX_NAME_BYTES {
        Some("must not be longer than 63 bytes")
    } else if !name.chars().all(is_allowed) || name.starts_with('-') || name.ends_with('-') {
        Some("must consist of a-z, 0-9 and inner hyphens")
    } else {
        None
    }
}
