//! Values that are no lists and no tables. One that is missing, of another kind or out of range is an error; its default is
//! returned, so that reading goes on to the other errors.

use super::table::Section;
use std::net::SocketAddr;
use std::ops::RangeBounds;
use std::str::FromStr;
use toml::de::DeValue;
use toml::Spanned;

impl Section<'_> {
    /// A string.
    pub fn text(&self, key: &'static str) -> Option<String> {
        match self.value(key)?.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.error(key, "must be a text");
                None
            }
        }
    }

    /// A string that must be there; empty if it isn't.
    pub fn required_text(&self, key: &'static str) -> String {
        if !self.has(key) {
            self.error(key, "is missing");
        }
        self.text(key).unwrap_or_default()
    }

    /// A string that is parsed; `what` says in the error what it has to be.
    pub fn parsed<T: FromStr>(&self, key: &'static str, what: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.error(key, format!("{text:?} is not {what}"));
        }
        value
    }

    /// An address that must be there; one that nobody uses if it isn't.
    pub(crate) fn required_address(&self, key: &'static str) -> SocketAddr {
        if !self.has(key) {
            self.error(key, "is missing");
        }
        self.parsed(key, "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// True or false; `default` if the key is not there.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.value(key).map(Spanned::get_ref) {
            None => default,
            Some(DeValue::Boolean(value)) => *value,
            Some(_) => {
                self.error(key, "must be true or false");
                default
            }
        }
    }

    /// A finite number in `range`; `default` if the key is not there.
    pub fn number(&self, key: &'static str, default: f64, range: impl RangeBounds<f64>) -> f64 {
        let value = match self.value(key).map(Spanned::get_ref) {
            None => return default,
            Some(DeValue::Integer(value)) => value.as_str().replace('_', "").parse::<f64>().ok(),
            Some(DeValue::Float(value)) => value.as_str().replace('_', "").parse::<f64>().ok(),
            Some(_) => None,
        };
        match value.filter(|value| value.is_finite()) {
            None => self.error(key, "must be a number"),
            Some(value) if !range.contains(&value) => self.error(key, format!("{value} is out of range")),
            Some(value) => return value,
        }
        default
    }

    /// An integer of 0 or more in `range`; `default` if the key is not there.
    pub fn integer(&self, key: &'static str, default: u64, range: impl RangeBounds<u64>) -> u64 {
        let value = match self.value(key).map(Spanned::get_ref) {
            None => return default,
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
        default
    }

    /// The value that `choices` has for the string found; `default` if the key is not there.
    pub fn choice<T: Copy>(&self, key: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let Some(text) = self.text(key) else { return default };
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return *value;
        }
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        self.error(key, format!("{text:?} is none of {}", names.join(", ")));
        default
    }
}
