//! Validation of names.

use crate::section::Section;
use std::collections::BTreeSet;

/// Reports an error at `key` for each name that occurs twice.
pub fn reject_duplicates<'n>(section: &Section<'_>, key: &'static str, names: impl Iterator<Item = &'n str>) {
    let mut unique = BTreeSet::new();
    for name in names {
        if !unique.insert(name) {
            section.error(key, format!("{name:?} is defined twice"));
        }
    }
}

/// Reports an error at `key` if `name` can't be part of counter names and header fields. There is no error if the key is
/// absent.
pub(crate) fn check_name(section: &Section<'_>, key: &'static str, name: &str) {
    if section.has(key) && !is_valid_name(name) {
        section.error(key, "must be 1 to 40 letters, digits, - or _");
    }
}

/// Whether a name can be part of counter names and header fields.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=40).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}
