//! Formats responses of the administration API as tables.

use serde_json::{Map, Value};

/// Formats a list as rows, or an object as its fields.
pub fn table(response: &Value) -> String {
    let text = |value: &Value| match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let rows: Vec<Vec<String>> = match response {
        Value::Array(items) => {
            let mut columns: Vec<&String> = Vec::new();
            for name in items.iter().filter_map(Value::as_object).flat_map(Map::keys) {
                if !columns.contains(&name) {
                    columns.push(name);
                }
            }
            // The columns that identify a row come first.
            columns.sort_by_key(|name| !["name", "id"].contains(&name.as_str()));
            let header = columns.iter().map(|name| name.to_uppercase()).collect();
            let row = |item: &Value| columns.iter().map(|name| text(&item[name.as_str()])).collect();
            std::iter::once(header).chain(items.iter().map(row)).collect()
        }
        Value::Object(fields) => fields.iter().map(|(name, value)| vec![name.clone(), text(value)]).collect(),
        _ => Vec::new(),
    };
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut output = String::new();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        output += cells.collect::<Vec<_>>().join("  ").trim_end();
        output.push('\n');
    }
    output
}
