//! A JSON object whose values are kept as their original text.

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// The members of an object, in order; of members with the same key, the last one wins.
#[derive(Debug, Default, Clone)]
pub(super) struct Members<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'a> Members<'a> {
    /// The value under `key`; `null` counts as absent.
    pub(super) fn get(&self, key: &str) -> Option<&'a RawValue> {
        let value = self.0.iter().find(|(name, _)| name == key)?.1;
        (value.get() != "null").then_some(value)
    }

    /// Keys and values in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, &'a RawValue)> {
        self.0.iter().map(|(key, value)| (key.as_ref(), *value))
    }

    /// Whether there is a member `key`.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.0.iter().any(|(name, _)| name == key)
    }

    /// The members that are not `null`.
    pub(super) fn without_null(mut self) -> Self {
        self.0.retain(|(_, value)| value.get() != "null");
        self
    }

    fn set(&mut self, key: Cow<'a, str>, value: &'a RawValue) {
        match self.0.iter_mut().find(|(name, _)| *name == key) {
            Some(member) => member.1 = value,
            None => self.0.push((key, value)),
        }
    }
}

/// A key, borrowed unless it holds escapes.
#[derive(serde::Deserialize)]
struct Key<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor(std::marker::PhantomData))
    }
}

struct MembersVisitor<'a>(std::marker::PhantomData<&'a ()>);

impl<'de: 'a, 'a> Visitor<'de> for MembersVisitor<'a> {
    type Value = Members<'a>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members<'a>, A::Error> {
        let mut members = Members::default();
        while let Some(Key(key)) = map.next_key()? {
            members.set(key, map.next_value()?);
        }
        Ok(members)
    }
}
