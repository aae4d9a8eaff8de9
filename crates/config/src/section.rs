//! One table of the file, read key by key. A key that is missing, of another kind or out of range is noted and
//! a stand-in taken, so that reading goes on to the other errors; keys that nobody asked for are errors too.

use crate::error::Errors;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::RangeBounds;
use std::rc::Rc;
use std::str::FromStr;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// The text, for line numbers, and what was found wrong with it.
pub(crate) struct Reading<'a> {
    text: &'a str,
    pub(crate) errors: RefCell<Errors>,
}

impl<'a> Reading<'a> {
    pub(crate) fn new(text: &'a str) -> Rc<Reading<'a>> {
        Rc::new(Reading { text, errors: RefCell::default() })
    }

    pub(crate) fn line(&self, at: usize) -> usize {
        1 + self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|byte| **byte == b'\n').count()
    }
}

/// Reads a file's text, its root table first; all errors in one go.
pub fn read<T>(text: &str, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Errors> {
    let reading = Reading::new(text);
    let (table, syntax) = DeTable::parse_recoverable(text);
    for error in &syntax {
        let line = reading.line(error.span().map_or(0, |span| span.start));
        reading.errors.borrow_mut().add(line, "syntax", error.message());
    }
    let root = Section::root(&reading, table.get_ref());
    let value = read(&root);
    root.finish();
    let mut errors = reading.errors.take();
    errors.sort();
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(errors)
    }
}

/// A table, and which of its keys were asked for.
pub struct Section<'a> {
    reading: Rc<Reading<'a>>,
    table: Option<&'a DeTable<'a>>,
    /// What the keys of this table are called in full, with a dot at the end unless it is the file's own.
    prefix: String,
    at: usize,
    asked: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    pub(crate) fn root(reading: &Rc<Reading<'a>>, table: &'a DeTable<'a>) -> Section<'a> {
        Section::new(reading, Some(table), String::new(), 0)
    }

    fn new(
        reading: &Rc<Reading<'a>>,
        table: Option<&'a DeTable<'a>>,
        prefix: String,
        at: usize,
    ) -> Section<'a> {
        Section { reading: reading.clone(), table, prefix, at, asked: RefCell::default() }
    }

    fn value(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.asked.borrow_mut().insert(key);
        self.table?.iter().find(|(name, _)| name.get_ref().as_ref() == key).map(|(_, value)| value)
    }

    /// Notes an error of a key; of the table, where the key is not there.
    pub fn error(&self, key: &str, reason: impl Display) {
        let here = self.table.and_then(|table| table.iter().find(|(name, _)| name.get_ref().as_ref() == key));
        let at = here.map_or(self.at, |(name, _)| name.span().start);
        let line = self.reading.line(at);
        self.reading.errors.borrow_mut().add(line, format!("{}{key}", self.prefix), reason.to_string());
    }

    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    pub fn text(&self, key: &'static str) -> Option<String> {
        match self.value(key)?.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.error(key, "must be a text");
                None
            }
        }
    }

    /// A text that must be there.
    pub fn needed(&self, key: &'static str) -> String {
        if !self.has(key) {
            self.error(key, "is missing");
        }
        self.text(key).unwrap_or_default()
    }

    /// A text that stands for something else.
    pub fn parsed<T: FromStr>(&self, key: &'static str, what: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.error(key, format!("{text:?} is not {what}"));
        }
        value
    }

    pub fn flag(&self, key: &'static str, usual: bool) -> bool {
        match self.value(key).map(Spanned::get_ref) {
            None => usual,
            Some(DeValue::Boolean(value)) => *value,
            Some(_) => {
                self.error(key, "must be true or false");
                usual
            }
        }
    }

    pub fn number(&self, key: &'static str, usual: f64, range: impl RangeBounds<f64>) -> f64 {
        let value = match self.value(key).map(Spanned::get_ref) {
            None => return usual,
            Some(DeValue::Integer(value)) => value.as_str().replace('_', "").parse::<f64>().ok(),
            Some(DeValue::Float(value)) => value.as_str().replace('_', "").parse::<f64>().ok(),
            Some(_) => None,
        };
        match value.filter(|value| value.is_finite()) {
            None => self.error(key, "must be a number"),
            Some(value) if !range.contains(&value) => self.error(key, format!("{value} is out of range")),
            Some(value) => return value,
        }
        usual
    }

    pub fn whole(&self, key: &'static str, usual: u64, range: impl RangeBounds<u64>) -> u64 {
        let value = match self.value(key).map(Spanned::get_ref) {
            None => return usual,
            Some(DeValue::Integer(value)) if value.radix() == 10 => {
                value.as_str().replace('_', "").parse().ok()
            }
            Some(_) => None,
        };
        match value {
            None => self.error(key, "must be a whole number of 0 or more"),
            Some(value) if !range.contains(&value) => self.error(key, format!("{value} is out of range")),
            Some(value) => return value,
        }
        usual
    }

    /// One of a few words.
    pub fn word<T: Copy>(&self, key: &'static str, usual: T, known: &[(&str, T)]) -> T {
        let Some(text) = self.text(key) else { return usual };
        if let Some((_, value)) = known.iter().find(|(name, _)| *name == text) {
            return *value;
        }
        let words: Vec<_> = known.iter().map(|(name, _)| *name).collect();
        self.error(key, format!("{text:?} is none of {}", words.join(", ")));
        usual
    }

    /// A list of a few words.
    pub fn words<T: Copy>(&self, key: &'static str, known: &[(&str, T)]) -> Vec<T> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list");
            return Vec::new();
        };
        let word = |value: &Spanned<DeValue>| {
            let text = match value.get_ref() {
                DeValue::String(text) => text.to_string(),
                _ => String::new(),
            };
            let found = known.iter().find(|(name, _)| *name == text);
            if found.is_none() {
                let words: Vec<_> = known.iter().map(|(name, _)| *name).collect();
                self.error(key, format!("{text:?} is none of {}", words.join(", ")));
            }
            found.map(|(_, value)| *value)
        };
        list.iter().filter_map(word).collect()
    }

    /// A list of any numbers.
    pub fn numbers(&self, key: &'static str) -> Vec<f64> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list of numbers");
            return Vec::new();
        };
        let number = |value: &Spanned<DeValue>| {
            let value = match value.get_ref() {
                DeValue::Integer(value) => value.as_str().replace('_', "").parse::<f64>().ok(),
                DeValue::Float(value) => value.as_str().replace('_', "").parse::<f64>().ok(),
                _ => None,
            };
            if value.is_none_or(|value| !value.is_finite()) {
                self.error(key, "must be a list of numbers");
            }
            value
        };
        list.iter().filter_map(number).collect()
    }

    /// A list of any texts.
    pub fn names(&self, key: &'static str) -> Vec<String> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list of texts");
            return Vec::new();
        };
        let text = |value: &Spanned<DeValue>| match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.error(key, "must be a list of texts");
                None
            }
        };
        list.iter().filter_map(text).collect()
    }

    /// A table of texts under any keys.
    pub fn texts(&self, key: &'static str) -> BTreeMap<String, String> {
        let Some(value) = self.value(key) else { return BTreeMap::new() };
        let DeValue::Table(table) = value.get_ref() else {
            self.error(key, "must be a table of texts");
            return BTreeMap::new();
        };
        let text = |(name, value): (&Spanned<DeString<'_>>, &Spanned<DeValue<'_>>)| match value.get_ref() {
            DeValue::String(text) => Some((name.get_ref().to_string(), text.to_string())),
            _ => {
                self.error(key, "must be a table of texts");
                None
            }
        };
        table.iter().filter_map(text).collect()
    }

    /// A table in this one; an empty one if it is not there.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        let prefix = format!("{}{key}.", self.prefix);
        match self.value(key) {
            None => Section::new(&self.reading, None, prefix, self.at),
            Some(value) => {
                let table = match value.get_ref() {
                    DeValue::Table(table) => Some(table),
                    _ => {
                        self.error(key, "must be a table");
                        None
                    }
                };
                Section::new(&self.reading, table, prefix, value.span().start)
            }
        }
    }

    /// A list of tables, `[[key]]` or in line.
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
                    sections.push(Section::new(&self.reading, Some(table), prefix, value.span().start));
                }
                _ => self.error(key, "must be a list of tables"),
            }
        }
        sections
    }

    /// Notes the keys that nobody asked for.
    pub fn finish(self) {
        let asked = self.asked.borrow();
        for (name, _) in self.table.into_iter().flat_map(|table| table.iter()) {
            let name = name.get_ref().as_ref();
            if !asked.contains(name) {
                let near = asked.iter().filter(|known| alike(known, name)).min_by_key(|known| known.len());
                let hint = near.map_or(String::new(), |known| format!(" (did you mean {known}?)"));
                self.error(name, format!("is not a key known here{hint}"));
            }
        }
    }
}

/// Whether two keys differ by a letter or two, or in their ends only.
fn alike(known: &str, name: &str) -> bool {
    let (known, name) = (known.as_bytes(), name.as_bytes());
    let front = known.iter().zip(name).take_while(|(a, b)| a == b).count();
    let back = known.iter().rev().zip(name.iter().rev()).take_while(|(a, b)| a == b).count();
    front + back + 2 >= known.len().max(name.len()) || (front >= 4 && front == known.len().min(name.len()))
}
