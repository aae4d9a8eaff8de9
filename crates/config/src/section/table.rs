//! A table of a file, and the tables in it.

use super::source::Source;
use crate::error::Errors;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::rc::Rc;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Parses the text of a file. `read` reads the root table.
///
/// # Errors
/// Returns all errors of the file, ordered by line.
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

/// A table of a file.
pub struct Section<'a> {
    source: Rc<Source<'a>>,
    /// `None` if the table is missing.
    table: Option<&'a DeTable<'a>>,
    /// The prefix of keys in their full path: empty for the root table, otherwise with a dot at the end.
    prefix: String,
    /// The position of the table in the text.
    offset: usize,
    /// The keys that have been read.
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

    /// The value of a key. Marks the key as read.
    pub(super) fn value(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.read_keys.borrow_mut().insert(key);
        self.table?.iter().find(|(name, _)| name.get_ref().as_ref() == key).map(|(_, value)| value)
    }

    /// Reports an error at a key, with the line of the key, or that of the table if the key is absent.
    pub fn error(&self, key: &str, reason: impl Display) {
        let entry =
            self.table.and_then(|table| table.iter().find(|(name, _)| name.get_ref().as_ref() == key));
        let offset = entry.map_or(self.offset, |(name, _)| name.span().start);
        let line = self.source.line(offset);
        self.source.errors.borrow_mut().add(line, format!("{}{key}", self.prefix), reason.to_string());
    }

    /// Whether the key is present. Marks the key as read.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// Reads a table in this table. The result is empty if the key is absent or not a table.
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

    /// Reads a list of tables, written as `[[key]]` or inline.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list of tables");
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, value) in list.iter().enumerate() {
            match value.get_ref() {
                DeValue::Table(table) => {
                    let prefix = format!("{}{key}[{index}].", self.prefix);
                    sections.push(Section::new(&self.source, Some(table), prefix, value.span().start));
                }
                _ => self.error(key, "must be a list of tables"),
            }
        }
        sections
    }

    /// Reports an error at each key that was not read. Must be called after all known keys of the table have been read.
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

/// Whether two keys differ in at most two letters, or one of them is a prefix of the other with at least four letters.
fn are_similar(known: &str, name: &str) -> bool {
    let (known, name) = (known.as_bytes(), name.as_bytes());
    let prefix = known.iter().zip(name).take_while(|(a, b)| a == b).count();
    let suffix = known.iter().rev().zip(name.iter().rev()).take_while(|(a, b)| a == b).count();
    prefix + suffix + 2 >= known.len().max(name.len())
        || (prefix >= 4 && prefix == known.len().min(name.len()))
}
