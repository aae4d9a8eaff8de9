//! Answers of the administration API as tables.

use serde_json::{Map, Value};

/// Rows of things, or the fields of one.
pub fn table(answer: &Value) -> String {
    let text = |value: &Value| match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let rows: Vec<Vec<String>> = match answer {
        Value::Array(items) => {
            let mut columns: Vec<&String> = Vec::new();
            for name in items.iter().filter_map(Value::as_object).flat_map(Map::keys) {
                if !columns.contains(&name) {
                    columns.push(name);
                }
            }
            // What names a row comes first.
            columns.sort_by_key(|name| !["name", "id"].contains(&name.as_str()));
            let head = columns.iter().map(|name| name.to_uppercase()).collect();
            let row = |item: &Value| columns.iter().map(|name| text(&item[name.as_str()])).collect();
            std::iter::once(head).chain(items.iter().map(row)).collect()
        }
        Value::Object(fields) => fields.iter().map(|(name, value)| vec![name.clone(), text(value)]).collect(),
        _ => Vec::new(),
    };
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        out += cells.collect::<Vec<_>>().join("  ").trim_end();
        out.push('\n');
    }
    out
}
