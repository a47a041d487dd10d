//! Parses a configuration and reports the location of every error.

use super::members::Members;
use super::validation::{validate, validate_routes};
use super::{Backend, Configuration, Limits, Route};
use crate::findings::Findings;
use crate::lenient::Object;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashSet;
use std::fmt::Display;

/// The typed view of a valid configuration.
///
/// An invalid configuration is parsed again item by item, so that all errors are found.
pub(super) fn read_configuration(bytes: &[u8]) -> Result<Configuration, Findings> {
    let text = std::str::from_utf8(bytes).map_err(not_a_json_object)?;
    match serde_json::from_str(text) {
        Ok(Object(configuration)) => {
            validate(&configuration).into_result()?;
            Ok(configuration)
        }
        Err(_) => read_item_by_item(bytes),
    }
}

fn read_item_by_item(bytes: &[u8]) -> Result<Configuration, Findings> {
    let members = read_object(bytes)?;
    let mut findings = Findings::default();
    let version = read_version(&members, &mut findings);
    let raw_backends = read_list(&members, "Backends", &mut findings);
    let backends = read_items::<Backend>(&raw_backends, "Backends", &mut findings);
    let raw_routes = read_list(&members, "Routes", &mut findings);
    let routes = read_items::<Route>(&raw_routes, "Routes", &mut findings);
    let limits = read_optional::<Object<Limits>>(&members, "Limits", &mut findings);
    let names: Vec<_> = raw_backends.iter().filter_map(|raw| name_of(raw)).collect();
    let known: HashSet<&str> = names.iter().map(|name| name.as_ref()).collect();
    validate_routes(routes.iter().map(|(index, route)| (*index, route)), &known, &mut findings);
    findings.into_result()?;
    Ok(Configuration {
        version: version.unwrap_or_default(),
        routes: without_indices(routes),
        backends: without_indices(backends),
        limits: limits.map(|Object(limits)| limits).unwrap_or_default(),
    })
}

/// The members of the object in a body.
pub(super) fn read_object(bytes: &[u8]) -> Result<Members<'_>, Findings> {
    serde_json::from_slice(bytes).map_err(not_a_json_object)
}

fn not_a_json_object(error: impl Display) -> Findings {
    Findings::one("", format!("cannot be read as a JSON object: {error}"))
}

/// The `Version` of a configuration or of a patch, if the body can be parsed that far.
pub fn version_of(body: &[u8]) -> Option<u64> {
    let members = read_object(body).ok()?;
    read_version(&members, &mut Findings::default())
}

/// The member `Version`, which every change must have.
pub(super) fn read_version(members: &Members, findings: &mut Findings) -> Option<u64> {
    #[derive(Deserialize)]
    struct Version(#[serde(deserialize_with = "crate::lenient::integer")] u64);

    if members.get("Version").is_none() {
        findings.add("Version", "is missing");
    }
    read_optional::<Version>(members, "Version", findings).map(|Version(version)| version)
}

/// The items of a list as text; empty if the list is missing.
pub(super) fn read_list<'a>(members: &Members<'a>, key: &str, findings: &mut Findings) -> Vec<&'a RawValue> {
    let Some(raw) = members.get(key) else {
        return Vec::new();
    };
    read_borrowed(raw, key, findings).unwrap_or_default()
}

fn read_optional<T: DeserializeOwned>(members: &Members, key: &str, findings: &mut Findings) -> Option<T> {
    read_borrowed(members.get(key)?, key, findings)
}

/// Each item that can be parsed, with its index in the list.
fn read_items<T: DeserializeOwned>(
    raw: &[&RawValue],
    list: &str,
    findings: &mut Findings,
) -> Vec<(usize, T)> {
    let mut items = Vec::new();
    for (index, item) in raw.iter().enumerate() {
        let read = read_borrowed(item, &format!("{list}[{index}]"), findings);
        items.extend(read.map(|Object(item)| (index, item)));
    }
    items
}

fn without_indices<T>(items: Vec<(usize, T)>) -> Vec<T> {
    items.into_iter().map(|(_, item)| item).collect()
}

/// Parses the value at `location`.
pub(super) fn read_borrowed<'a, T: Deserialize<'a>>(
    raw: &'a RawValue,
    location: &str,
    findings: &mut Findings,
) -> Option<T> {
    let mut deserializer = serde_json::Deserializer::from_str(raw.get());
    match serde_path_to_error::deserialize(&mut deserializer) {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add(join(location, &error.path().to_string()), message_of(error.inner()));
            None
        }
    }
}

fn join(location: &str, path: &str) -> String {
    match path {
        "." => location.to_owned(),
        _ if path.starts_with('[') => format!("{location}{path}"),
        _ => format!("{location}.{path}"),
    }
}

/// The message without line and column, which count from the start of the item.
fn message_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

/// The `Name` of an item.
pub(super) fn name_of(item: &RawValue) -> Option<Cow<'_, str>> {
    #[derive(Deserialize)]
    struct Named<'a> {
        #[serde(rename = "Name", borrow)]
        name: Cow<'a, str>,
    }
    serde_json::from_str::<Named>(item.get()).ok().map(|named| named.name)
}
