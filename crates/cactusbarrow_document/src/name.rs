//! Naming rules for objects.

/// Largest length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Returns why a name is invalid, or `None` if it is valid.
pub(crate) fn name_error(name: &str) -> Option<&'static str> {
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
