//! Parses an experiment with the combinations of its varied values.

use super::model::{Experiment, Vary};
use super::read::read_experiment;
use toml::{Table, Value};
use violetyoke_config::Errors;

/// Beyond this, whole numbers are not exact as floating-point numbers.
const MAX_WHOLE: f64 = 1e15;

/// An experiment with one combination of the varied values.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its keys and values, as `counter.parts=4 run.scale=2`; empty where nothing is varied.
    pub name: String,
    /// The experiment with these values.
    pub experiment: Experiment,
}

/// A key and the value that it has in a variant.
#[derive(Clone)]
struct Setting<'a> {
    key: &'a str,
    value: f64,
}

/// Parses and checks an experiment's file, and each of its variants.
///
/// # Errors
/// All that is wrong with the file, each with its line and key.
pub fn parse(text: &str) -> Result<Experiment, Errors> {
    let experiment = violetyoke_config::read(text, read_experiment)?;
    variants(text, &experiment)?;
    Ok(experiment)
}

/// All combinations of the varied values; the experiment itself where nothing is varied.
///
/// # Errors
/// What a varied value makes wrong in the file `text`, at the lines of `[[vary]]`.
pub fn variants(text: &str, experiment: &Experiment) -> Result<Vec<Variant>, Errors> {
    if experiment.vary.is_empty() {
        return Ok(vec![Variant { name: String::new(), experiment: experiment.clone() }]);
    }
    combinations(&experiment.vary).iter().map(|settings| variant(text, settings)).collect()
}

/// The first key varies slowest.
fn combinations(varied: &[Vary]) -> Vec<Vec<Setting<'_>>> {
    let mut combinations = vec![Vec::new()];
    for Vary { key, values } in varied {
        let mut extended = Vec::new();
        for settings in &combinations {
            for value in values {
                let mut settings = settings.clone();
                settings.push(Setting { key, value: *value });
                extended.push(settings);
            }
        }
        combinations = extended;
    }
    combinations
}

fn variant(text: &str, settings: &[Setting<'_>]) -> Result<Variant, Errors> {
    let names: Vec<String> = settings.iter().map(|Setting { key, value }| format!("{key}={value}")).collect();
    let name = names.join(" ");
    // The text has been parsed and checked before, so that neither of these steps fails.
    let mut table: Table = toml::from_str(text).unwrap_or_default();
    table.remove("vary");
    for setting in settings {
        set(&mut table, setting);
    }
    let varied = toml::to_string(&table).unwrap_or_default();
    match violetyoke_config::read(&varied, read_experiment) {
        Ok(experiment) => Ok(Variant { name, experiment }),
        Err(errors) => Err(errors_of_variant(text, &name, &errors)),
    }
}

/// The errors with the lines of the user's file: those of the varied text are not the user's.
fn errors_of_variant(text: &str, name: &str, errors: &Errors) -> Errors {
    let reported = violetyoke_config::read(text, |root| {
        read_experiment(root);
        for violetyoke_config::ConfigError { key, reason, .. } in errors.iter() {
            root.error("vary", format!("{name}: {key}: {reason}"));
        }
    });
    reported.err().unwrap_or_default()
}

/// Sets a value at its dotted key, as a whole number where it is one. A key that goes through a value which is no table sets
/// nothing.
fn set(table: &mut Table, setting: &Setting<'_>) {
    let (mut table, mut key) = (table, setting.key);
    while let Some((first, rest)) = key.split_once('.') {
        let entry = table.entry(first).or_insert_with(|| Value::Table(Table::new()));
        let Value::Table(next) = entry else { return };
        (table, key) = (next, rest);
    }
    let is_whole = setting.value.fract() == 0.0 && setting.value.abs() < MAX_WHOLE;
    let value = if is_whole { Value::Integer(setting.value as i64) } else { Value::Float(setting.value) };
    table.insert(key.to_string(), value);
}
