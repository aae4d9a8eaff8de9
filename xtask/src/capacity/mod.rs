//! The tables of `docs/CAPACITY.md`, made of the bench's sweeps in `journal/` and of nothing else.

mod format;
mod page;
mod sweep;

pub use page::{update, with_tables};
pub use sweep::{Cell, Row, Sweep, SweptDay};

/// Why a page can't be made of the journal.
#[derive(Debug)]
pub enum CapacityError {
    /// A file can't be read or written.
    File(std::path::PathBuf, std::io::Error),
    /// No entry, or more than one, ends with this id.
    NoEntry(String),
    /// An entry is not one of a sweep, or lacks a field.
    NotASweep(String),
    /// The page asks for a table of a kind that there is none of.
    UnknownTable(String),
}

impl std::fmt::Display for CapacityError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CapacityError::File(path, error) => write!(f, "{}: {error}", path.display()),
            CapacityError::NoEntry(id) => write!(f, "the journal has not one entry {id}"),
            CapacityError::NotASweep(id) => write!(f, "{id}: is no entry of a sweep"),
            CapacityError::UnknownTable(name) => write!(f, "no table is called {name}"),
        }
    }
}

impl std::error::Error for CapacityError {}
