//! Whether a replaced settings object is complete.
//!
//! A key that is left out has its default, which is not what anybody wrote. So a file that was written in part must not
//! replace the settings in force: a key that was there has to be there still.

use serde_json::Value;

/// The path of the first key that `old` has and `new` lacks, if any.
///
/// A null counts as absent, unless it was null in `old`. Each object of a list must have the keys of the first object
/// of the old list.
pub fn missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| {
            let found = new.get(key).filter(|new| old.is_null() || !new.is_null());
            let Some(new) = found else { return Some(key.clone()) };
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
