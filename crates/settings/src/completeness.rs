//! Checks that a new settings object is complete.
//!
//! Absent keys have default values, so a file that was written only in part would silently reset settings. A new object
//! must therefore have all keys that the object in force has.

use serde_json::Value;

/// Returns the path of the first key that `old` has and `new` lacks, if there is one.
///
/// A key whose value is null counts as absent, unless it is null in `old`. Each object in a list must have the keys of the
/// first object in the old list.
pub fn missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| {
            let present = new.get(key).filter(|new| old.is_null() || !new.is_null());
            let Some(new) = present else { return Some(key.clone()) };
            missing_key(old, new).map(|rest| format!("{key}.{rest}"))
        }),
        (Value::Object(_), _) => Some("(an object)".to_string()),
        (Value::Array(old), Value::Array(new)) => {
            let template = old.first().filter(|old| old.is_object())?;
            let mut items = new.iter().enumerate();
            items.find_map(|(i, new)| missing_key(template, new).map(|rest| format!("[{i}].{rest}")))
        }
        (Value::Array(_), _) => Some("(a list)".to_string()),
        _ => None,
    }
}
