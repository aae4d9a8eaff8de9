//! Reads lists and maps of values. A missing list or map is empty. An item of the wrong type is reported as an error and left
//! out.

use super::table::Section;
use std::collections::BTreeMap;
use toml::de::{DeString, DeValue};
use toml::Spanned;

impl Section<'_> {
    /// Reads a list of strings, and returns the values that `choices` has for them.
    pub fn choices<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Vec<T> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list");
            return Vec::new();
        };
        let choice = |value: &Spanned<DeValue>| {
            let text = match value.get_ref() {
                DeValue::String(text) => text.to_string(),
                _ => String::new(),
            };
            let choice = choices.iter().find(|(name, _)| *name == text);
            if choice.is_none() {
                let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
                self.error(key, format!("{text:?} is none of {}", names.join(", ")));
            }
            choice.map(|(_, value)| *value)
        };
        list.iter().filter_map(choice).collect()
    }

    /// Reads a list of finite numbers.
    pub fn number_list(&self, key: &'static str) -> Vec<f64> {
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

    /// Reads a list of strings.
    pub fn text_list(&self, key: &'static str) -> Vec<String> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.error(key, "must be a list of strings");
            return Vec::new();
        };
        let text = |value: &Spanned<DeValue>| match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.error(key, "must be a list of strings");
                None
            }
        };
        list.iter().filter_map(text).collect()
    }

    /// Reads a table with any keys whose values are strings.
    pub fn text_map(&self, key: &'static str) -> BTreeMap<String, String> {
        let Some(value) = self.value(key) else { return BTreeMap::new() };
        let DeValue::Table(table) = value.get_ref() else {
            self.error(key, "must be a table of strings");
            return BTreeMap::new();
        };
        let text = |(name, value): (&Spanned<DeString<'_>>, &Spanned<DeValue<'_>>)| match value.get_ref() {
            DeValue::String(text) => Some((name.get_ref().to_string(), text.to_string())),
            _ => {
                self.error(key, "must be a table of strings");
                None
            }
        };
        table.iter().filter_map(text).collect()
    }
}
