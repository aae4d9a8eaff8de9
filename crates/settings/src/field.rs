//! Values of the settings, each with the path of its key, so that errors can name the key.

use crate::error::{Problem, SettingsError};
use serde_json::Value;

/// A value and the path of its key. The paths that are passed to its methods are relative to it. If a key is absent or null,
/// the methods return the given default.
pub(crate) struct Field<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Field<'a> {
    /// The settings object.
    pub(crate) fn root(value: &'a Value) -> Field<'a> {
        Field { value, path: String::new() }
    }

    pub(crate) fn child(&self, key: &str) -> Option<Field<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        let separator = if self.path.is_empty() { "" } else { "." };
        Some(Field { value, path: format!("{}{separator}{key}", self.path) })
    }

    fn descendant(&self, path: &[&str]) -> Option<Field<'a>> {
        let (first, rest) = path.split_first()?;
        let child = self.child(first)?;
        rest.iter().try_fold(child, |field, key| field.child(key))
    }

    fn error(&self, problem: Problem) -> SettingsError {
        SettingsError::Key { path: self.path.clone(), problem }
    }

    /// Reads a finite number of 0 or more.
    pub(crate) fn number(&self, path: &[&str], default: f64) -> Result<f64, SettingsError> {
        let Some(field) = self.descendant(path) else { return Ok(default) };
        match field.value.as_f64() {
            Some(value) if value.is_finite() && value >= 0.0 => Ok(value),
            _ => Err(field.error(Problem::NotANumber)),
        }
    }

    /// Reads a number of 0 or more and rounds it to the nearest integer. Numbers beyond 64 bits become the maximum.
    pub(crate) fn rounded(&self, path: &[&str], default: u64) -> Result<u64, SettingsError> {
        Ok(self.number(path, default as f64)?.round() as u64)
    }

    /// Reads a number of 0 or more and rounds it to the nearest integer, which must be in the range of `T`.
    pub(crate) fn integer<T: TryFrom<u64>>(&self, path: &[&str], default: u64) -> Result<T, SettingsError> {
        let value = self.rounded(path, default)?;
        T::try_from(value)
            .map_err(|_| SettingsError::Key { path: path.join("."), problem: Problem::TooLarge })
    }

    pub(crate) fn flag(&self, path: &[&str], default: bool) -> Result<bool, SettingsError> {
        let Some(field) = self.descendant(path) else { return Ok(default) };
        field.value.as_bool().ok_or_else(|| field.error(Problem::NotABoolean))
    }

    /// Reads a string, and returns the value that `choices` has for it.
    pub(crate) fn one_of<T>(
        &self,
        path: &[&str],
        default: T,
        choices: &[(&str, T)],
    ) -> Result<T, SettingsError>
    where
        T: Copy,
    {
        let Some(field) = self.descendant(path) else { return Ok(default) };
        let choice = field.value.as_str().and_then(|text| choices.iter().find(|(name, _)| *name == text));
        choice.map(|(_, value)| *value).ok_or_else(|| field.error(Problem::UnknownValue))
    }

    /// Returns this value as a string.
    pub(crate) fn string(&self) -> Result<&'a str, SettingsError> {
        self.value.as_str().ok_or_else(|| self.error(Problem::NotAName))
    }

    /// The items of a list; empty if the key is absent.
    pub(crate) fn list(&self, key: &str) -> Result<Vec<Field<'a>>, SettingsError> {
        let Some(field) = self.child(key) else {
            return Ok(Vec::new());
        };
        let Some(values) = field.value.as_array() else {
            return Err(field.error(Problem::NotAList));
        };
        let item = |(i, value)| Field { value, path: format!("{}[{i}]", field.path) };
        Ok(values.iter().enumerate().map(item).collect())
    }
}
