//! What each row of the tables costs, as slopes over the runs that scale one table alone, and what that comes to at the
//! target.

use crate::number_format::format_number;
use crate::record::Record;

/// Routes, tenants and backends of the target.
const TARGET: [f64; 3] = [120_000.0, 630_000.0, 100_000.0];

struct Line {
    figure: &'static str,
    what: &'static str,
    /// From the figure's unit to bytes.
    bytes: f64,
    bound: Option<f64>,
}

const MEGABYTE: f64 = (1 << 20) as f64;

const LINES: &[Line] = &[
    Line {
        figure: "proxy.resident_mb",
        what: "memory of a proxy",
        bytes: MEGABYTE,
        bound: Some(64.0 * MEGABYTE),
    },
    Line {
        figure: "registry.resident_mb",
        what: "memory of a registry",
        bytes: MEGABYTE,
        bound: Some(256.0 * MEGABYTE),
    },
    Line {
        figure: "store.resident_mb",
        what: "memory of a store",
        bytes: MEGABYTE,
        bound: Some(256.0 * MEGABYTE),
    },
    Line { figure: "configuration.bytes", what: "an order's body", bytes: 1.0, bound: Some(8.0 * MEGABYTE) },
    Line { figure: "ingress.join.in_bytes", what: "to an ingress that begins", bytes: 1.0, bound: None },
    Line {
        figure: "store.change.disk_bytes",
        what: "disks of all holders, a change",
        bytes: 1.0,
        bound: None,
    },
    Line { figure: "store.change.between_bytes", what: "between stores, a change", bytes: 1.0, bound: None },
    Line {
        figure: "registry.backend.between_bytes",
        what: "between registries, a backend changes",
        bytes: 1.0,
        bound: None,
    },
];

/// The growth of a figure for each row, from the smallest to the largest size that was measured.
#[must_use]
pub fn slope(record: &Record, figure: &str) -> Option<f64> {
    let points: Vec<(f64, f64)> = record
        .sizes()
        .into_iter()
        .filter_map(|size| Some((size as f64, record.median(figure, size)?)))
        .collect();
    let ((x1, y1), (x2, y2)) = (points.first()?, points.last()?);
    (x2 > x1).then(|| (y2 - y1) / (x2 - x1))
}

/// The table of bytes for each route, tenant and backend, and at the target; the records are of the runs that scale
/// these three.
#[must_use]
pub fn row_cost_table(records: &[Record; 3]) -> String {
    let mut out = String::from(
        "| bytes | a route | a tenant | a backend | at the target (reckoned) | bound |\n| --- | --- | --- | --- | --- | --- |",
    );
    for line in LINES {
        let slopes =
            records.each_ref().map(|record| slope(record, line.figure).map_or(0.0, |it| it * line.bytes));
        let target: f64 = slopes.iter().zip(TARGET).map(|(slope, rows)| slope.max(0.0) * rows).sum();
        out += &format!("\n| {} |", line.what);
        for slope in slopes {
            out += &format!(" {} |", if slope.abs() < 0.5 { "0".to_owned() } else { format_number(slope) });
        }
        let bound = line.bound.map_or("-".to_owned(), format_number);
        out += &format!(" ~{} | {bound} |", format_number(target));
    }
    out
}
