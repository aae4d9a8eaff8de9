//! One sweep of the bench, as its entry in the journal has it.

use super::CapacityError;
use serde_json::Value;
use std::path::Path;

/// The bounds within which a slope is carried on.
const POWERS: std::ops::RangeInclusive<f64> = 0.0..=2.0;

/// What a figure was over the machines of a role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// At the middle machine.
    pub middle: f64,
    /// At the busiest one, or the longest time.
    pub most: f64,
}

/// One figure at each size.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The role and the figure with its unit.
    pub name: String,
    /// By size.
    pub cells: Vec<Cell>,
    /// The busiest grows as machines to this power.
    pub power: f64,
}

impl Row {
    /// The busiest machine's figure at `machines`, carried on from the largest size that was played.
    #[must_use]
    pub fn reckoned(&self, largest: u64, machines: u64) -> Option<f64> {
        let power = self.power.clamp(*POWERS.start(), *POWERS.end());
        Some(self.cells.last()?.most * (machines as f64 / largest as f64).powf(power))
    }
}

/// The day of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct SweptDay {
    /// Machines of the system.
    pub machines: u64,
    /// The part of the owed requests that was served.
    pub served: f64,
    /// The bench's score.
    pub score: f64,
    /// Rules that were broken.
    pub broken: usize,
    /// Amounts that have a price, by name.
    pub priced: Vec<(String, f64)>,
}

/// A sweep.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    /// The sizes that were played.
    pub sizes: Vec<u64>,
    /// Their days.
    pub days: Vec<SweptDay>,
    /// The figures by role.
    pub rows: Vec<Row>,
}

impl Sweep {
    /// Reads the entry whose file name ends with `id`.
    ///
    /// # Errors
    /// When there is not one such entry, or it is not one of a sweep.
    pub fn read(journal: &Path, id: &str) -> Result<Sweep, CapacityError> {
        let entries =
            std::fs::read_dir(journal).map_err(|error| CapacityError::File(journal.to_path_buf(), error))?;
        let names = entries.flatten().map(|entry| entry.path());
        let suffix = format!("-{id}.json");
        let mut matching = names.filter(|path| path.to_string_lossy().ends_with(&suffix));
        let (Some(path), None) = (matching.next(), matching.next()) else {
            return Err(CapacityError::NoEntry(id.to_owned()));
        };
        let text = std::fs::read_to_string(&path).map_err(|error| CapacityError::File(path, error))?;
        let entry: Value = serde_json::from_str(&text).unwrap_or_default();
        Sweep::of_entry(&entry).ok_or_else(|| CapacityError::NotASweep(id.to_owned()))
    }

    /// The sweep of an entry; `None` where it is none.
    #[must_use]
    pub fn of_entry(entry: &Value) -> Option<Sweep> {
        if entry["cmd"] != "sweep" {
            return None;
        }
        let mut lines = entry["digest"].as_str()?.lines();
        lines.find(|line| line.starts_with("middle / busiest"))?;
        let sizes: Vec<u64> = lines.next()?.split_whitespace().map_while(|word| word.parse().ok()).collect();
        let rows = lines.map_while(|line| row(line, sizes.len())).collect();
        let days = entry["days"].as_array()?.iter().map(swept_day).collect::<Option<_>>()?;
        Some(Sweep { sizes, days, rows })
    }
}

/// A line of the table: the name, a cell for each size, the power, and what the bench makes of it at its own target.
fn row(line: &str, sizes: usize) -> Option<Row> {
    let words: Vec<&str> = line.split_whitespace().collect();
    // A cell is three words: `1.5 / 1.8`.
    let first_cell = words.len().checked_sub(sizes * 3 + 2)?;
    let name = words[..first_cell].join(" ");
    let cells = words[first_cell..first_cell + sizes * 3].chunks(3).map(|cell| {
        let middle = cell[0].parse().ok()?;
        Some(Cell { middle, most: cell[2].parse().ok()? })
    });
    let power = words[words.len() - 2].parse().ok()?;
    Some(Row { name, cells: cells.collect::<Option<_>>()?, power })
}

fn swept_day(day: &Value) -> Option<SweptDay> {
    let priced = day["prices"]
        .as_array()?
        .iter()
        .filter_map(|price| Some((price[0].as_str()?.to_owned(), price[1].as_f64()?)));
    Some(SweptDay {
        machines: day["balancers"].as_u64()?,
        served: day["served"].as_f64()?,
        score: day["score"].as_f64()?,
        broken: day["rules"].as_object()?.len(),
        priced: priced.collect(),
    })
}
