//! Reads values other than lists and tables. A value that is missing but required, has the wrong type or is out of range is
//! reported as an error. The default is then returned, so that further errors are found as well.

use super::table::Section;
use std::net::SocketAddr;
use std::ops::RangeBounds;
use std::str::FromStr;
use toml::de::DeValue;
use toml::Spanned;

impl Section<'_> {
    /// Reads a string.
    pub fn text(&self, key: &'static str) -> Option<String> {
        match self.value(key)?.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.error(key, "must be a string");
                None
            }
        }
    }

    /// Reads a required string; empty if it is missing.
    pub fn required_text(&self, key: &'static str) -> String {
        if !self.has(key) {
            self.error(key, "is missing");
        }
        self.text(key).unwrap_or_default()
    }

    /// Reads a string and parses it. `expected` describes valid values in the error.
    pub fn parsed<T: FromStr>(&self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.error(key, format!("{text:?} is not {expected}"));
        }
        value
    }

    /// Reads a required address; a placeholder if it is missing.
    pub(crate) fn required_address(&self, key: &'static str) -> SocketAddr {
        if !self.has(key) {
            self.error(key, "is missing");
        }
        self.parsed(key, "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// Reads a boolean; `default` if the key is absent.
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

    /// Reads a finite number in `range`; `default` if the key is absent.
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

    /// Reads an integer of 0 or more in `range`; `default` if the key is absent.
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

    /// Reads a string, and returns the value that `choices` has for it; `default` if the key is absent.
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
