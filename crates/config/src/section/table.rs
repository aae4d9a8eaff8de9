//! A table of the file, and the tables in it.

use super::source::Source;
use crate::error::Errors;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::rc::Rc;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Reads the text of a file: `read` gets its root table.
///
/// # Errors
/// All that is wrong with the file, in the order of its lines.
pub fn read<T>(text: &str, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Errors> {
    let source = Source::new(text);
    let (table, syntax) = DeTable::parse_recoverable(text);
    for error in &syntax {
        let line = source.line(error.span().map_or(0, |span| span.start));
        source.errors.borrow_mut().add(line, "syntax", error.message());
    }
    let root = Section::root(&source, table.get_ref());
    let value = read(&root);
    root.finish();
    let mut errors = source.errors.take();
    errors.sort();
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(errors)
    }
}

/// A table of a file, and which of its keys were read.
pub struct Section<'a> {
    source: Rc<Source<'a>>,
    table: Option<&'a DeTable<'a>>,
    /// What precedes a key in its full name: empty for the root table, else with a dot at the end.
    prefix: String,
    /// Where the table begins in the text.
    offset: usize,
    read_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    fn root(source: &Rc<Source<'a>>, table: &'a DeTable<'a>) -> Section<'a> {
        Section::new(source, Some(table), String::new(), 0)
    }

    fn new(
        source: &Rc<Source<'a>>,
        table: Option<&'a DeTable<'a>>,
        prefix: String,
        offset: usize,
    ) -> Section<'a> {
        Section { source: source.clone(), table, prefix, offset, read_keys: RefCell::default() }
    }

    /// The value of a key, which counts as read from now on.
    pub(super) fn value(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.read_keys.borrow_mut().insert(key);
        self.table?.iter().find(|(name, _)| name.get_ref().as_ref() == key).map(|(_, value)| value)
    }

    /// Reports an error of a key, at the line of the key or else of the table.
    pub fn error(&self, key: &str, reason: impl Display) {
        let entry =
            self.table.and_then(|table| table.iter().find(|(name, _)| name.get_ref().as_ref() == key));
        let offset = entry.map_or(self.offset, |(name, _)| name.span().start);
        let line = self.source.line(offset);
        self.source.errors.borrow_mut().add(line, format!("{}{key}", self.prefix), reason.to_string());
    }

    /// Whether the key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// A table in this one; an empty one if it is not there or no table.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        let prefix = format!("{}{key}.", self.prefix);
        match self.value(key) {
            None => Section::new(&self.source, None, prefix, self.offset),
            Some(value) => {
                let table = match value.get_ref() {
                    DeValue::Table(table) => Some(table),
                    _ => {
                        self.error(key, "must be a table");
                        None
                    }
                };
                Section::new(&self.source, table, prefix, value.span().start)
            }
        }
    }

    /// A list of tables, `[[key]]` or inline.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list of tables");
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (number, value) in list.iter().enumerate() {
            match value.get_ref() {
                DeValue::Table(table) => {
                    let prefix = format!("{}{key}[{number}].", self.prefix);
                    sections.push(Section::new(&self.source, Some(table), prefix, value.span().start));
                }
                _ => self.error(key, "must be a list of tables"),
            }
        }
        sections
    }

    /// Reports an error of each key that was not read. To be called when all keys of the table have been read.
    pub fn finish(self) {
        let read_keys = self.read_keys.borrow();
        for (name, _) in self.table.into_iter().flat_map(|table| table.iter()) {
            let name = name.get_ref().as_ref();
            if !read_keys.contains(name) {
                let similar =
                    read_keys.iter().filter(|known| are_similar(known, name)).min_by_key(|known| known.len());
                let hint = similar.map_or(String::new(), |known| format!(" (did you mean {known}?)"));
                self.error(name, format!("is not a key known here{hint}"));
            }
        }
    }
}

/// Whether two keys differ by a letter or two, or in their ends only.
fn are_similar(known: &str, name: &str) -> bool {
    let (known, name) = (known.as_bytes(), name.as_bytes());
    let front = known.iter().zip(name).take_while(|(a, b)| a == b).count();
    let back = known.iter().rev().zip(name.iter().rev()).take_while(|(a, b)| a == b).count();
    front + back + 2 >= known.len().max(name.len()) || (front >= 4 && front == known.len().min(name.len()))
}
