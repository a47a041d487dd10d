//! Loads a settings file.
//!
//! Deserialization stops at the first error. To report all at once, each invalid field is replaced by a placeholder and
//! the rest is deserialized again.

use super::{Settings, checks};
use crate::findings::Findings;
use figment::Figment;
use figment::error::Kind;
use figment::providers::{Format, Yaml};
use figment::value::{Dict, Value};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The variable that names the settings file is not set.
    #[error("{} is not set; it names the settings file", super::SETTINGS_VARIABLE)]
    NotNamed,
    /// The settings file could not be read at all.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// Why it could not be read.
        source: std::io::Error,
    },
    /// Fields are missing, have the wrong type or contradict one another.
    #[error("{}:\n{findings}", path.display())]
    Invalid {
        /// The settings file.
        path: PathBuf,
        /// Everything that is wrong with it.
        findings: Findings,
    },
}

/// Limit on reported findings, so that a file that is not a settings file ends the search.
const MAX_FINDINGS: usize = 100;

/// Replaces required fields that are missing or invalid while the others are checked.
const PLACEHOLDERS: &str = "
NodeName: placeholder
Ip: 127.0.0.1
Zone: placeholder
PortRange: [1, 1]
";

/// Replaces an invalid item of a list of addresses.
const PLACEHOLDER_ADDRESS: &str = "127.0.0.1:1";

/// Reads the settings file at `path`.
pub(super) fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
    from_yaml(&text).map_err(|findings| SettingsError::Invalid { path: path.to_owned(), findings })
}

/// Reads settings from the text of a settings file.
pub(super) fn from_yaml(text: &str) -> Result<Settings, Findings> {
    let mut fields = read_fields(text).map_err(|error| Findings::one("", error.to_string()))?;
    let mut findings = Findings::default();
    let settings = loop {
        match Value::from(fields.clone()).deserialize::<Settings>() {
            Ok(settings) => break settings,
            Err(error) => replace_invalid(&error, &mut fields, &mut findings)?,
        }
    };
    findings.append(checks::check(&settings));
    findings.into_result()?;
    Ok(settings)
}

fn read_fields(text: &str) -> Result<Dict, Box<figment::Error>> {
    let fields: Dict = Figment::from(Yaml::string(text)).extract()?;
    Ok(without_empty(fields))
}

/// Drops fields without a value.
fn without_empty(fields: Dict) -> Dict {
    let given = fields.into_iter().filter(|(_, value)| !matches!(value, Value::Empty(..)));
    given
        .map(|(key, value)| match value {
            Value::Dict(tag, nested) => (key, Value::Dict(tag, without_empty(nested))),
            other => (key, other),
        })
        .collect()
}

/// Records the findings in `error`, and replaces the invalid fields by placeholders or removes them.
fn replace_invalid(
    error: &figment::Error,
    fields: &mut Dict,
    findings: &mut Findings,
) -> Result<(), Findings> {
    for error in error.clone() {
        let (path, message) = describe(&error);
        findings.add(path.join("."), message);
        let replaced = !path.is_empty() && replace(fields, &path, &placeholders());
        if !replaced || findings.iter().count() >= MAX_FINDINGS {
            return Err(std::mem::take(findings));
        }
    }
    Ok(())
}

fn describe(error: &figment::Error) -> (Vec<String>, String) {
    let mut path = error.path.clone();
    if let Kind::MissingField(name) = &error.kind {
        path.push(name.to_string());
        return (path, "is missing".to_owned());
    }
    (path, error.kind.to_string())
}

fn placeholders() -> Dict {
    Figment::from(Yaml::string(PLACEHOLDERS)).extract().unwrap_or_default()
}

/// Replaces the field at `path` by its placeholder, or removes it if there is none.
fn replace(fields: &mut Dict, path: &[String], placeholders: &Dict) -> bool {
    let Some((key, rest)) = path.split_first() else {
        return false;
    };
    if let Some(value) = placeholders.get(key) {
        return fields.insert(key.clone(), value.clone()).as_ref() != Some(value);
    }
    let nested = match fields.get_mut(key) {
        Some(Value::Dict(_, nested)) => replace(nested, rest, &Dict::new()),
        Some(Value::Array(_, items)) => replace_item(items, rest),
        _ => false,
    };
    nested || fields.remove(key).is_some()
}

/// Replaces the item at the index in `path`, so that the others keep their index.
fn replace_item(items: &mut [Value], path: &[String]) -> bool {
    let index = path.first().and_then(|index| index.parse::<usize>().ok());
    let Some(item) = index.and_then(|index| items.get_mut(index)) else {
        return false;
    };
    let value = Value::from(PLACEHOLDER_ADDRESS);
    let replaced = *item != value;
    *item = value;
    replaced
}
