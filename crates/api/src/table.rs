//! Decodes tables that consist of `columns` (names of fields) and `rows` (lists of values in the same order, where null means
//! absent).

use crate::error::ValidationError;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Decodes the rows of a table. There are no rows if the document has no such table. The error contains the table, the row,
/// and the invalid column.
pub(crate) fn decode_rows<T: DeserializeOwned>(
    document: &Value,
    table: &str,
) -> Result<Vec<T>, ValidationError> {
    let Some(value) = document.get(table).filter(|value| !value.is_null()) else { return Ok(Vec::new()) };
    let columns = value.get("columns").and_then(Value::as_array);
    let rows = value.get("rows").and_then(Value::as_array);
    let (Some(columns), Some(rows)) = (columns, rows) else {
        return Err(ValidationError::new(table, "has no columns and rows"));
    };
    let decode = |(index, row)| {
        decode_row(columns, row)
            .map_err(|reason| ValidationError::new(format!("{table}.rows[{index}]"), reason))
    };
    rows.iter().enumerate().map(decode).collect()
}

/// Why a row can't be decoded.
#[derive(Debug, thiserror::Error)]
enum RowError {
    #[error("is no list")]
    NotAList,
    #[error("has {values} values for {columns} columns")]
    WrongLength { values: usize, columns: usize },
    #[error(transparent)]
    Field(serde_json::Error),
}

fn decode_row<T: DeserializeOwned>(columns: &[Value], row: &Value) -> Result<T, RowError> {
    let values = row.as_array().ok_or(RowError::NotAList)?;
    if values.len() != columns.len() {
        return Err(RowError::WrongLength { values: values.len(), columns: columns.len() });
    }
    let mut object = Map::new();
    for (column, value) in columns.iter().zip(values) {
        let (Some(name), false) = (column.as_str(), value.is_null()) else { continue };
        object.insert(name.to_owned(), value.clone());
    }
    serde_json::from_value(Value::Object(object)).map_err(RowError::Field)
}
