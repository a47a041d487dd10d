//! Patches: changes to a configuration that refer to its items by name.

use super::members::Members;
use super::reading::{name_of, read_borrowed, read_list, read_object, read_version};
use crate::findings::Findings;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

/// A parsed patch: the body of a `PATCH` request.
pub(super) struct Patch<'a> {
    /// Members whose text is replaced: `Version`, and others that are not lists.
    members: Vec<(String, &'a RawValue)>,
    lists: Vec<ListChange<'a>>,
}

/// The change of one list of items, such as `Routes`.
struct ListChange<'a> {
    key: String,
    upsert: Vec<(Cow<'a, str>, &'a RawValue)>,
    delete: HashSet<String>,
}

impl<'a> Patch<'a> {
    /// Parses the body of a `PATCH`; reports every structural error.
    pub(super) fn read(bytes: &'a [u8]) -> Result<Self, Findings> {
        let object = read_object(bytes)?;
        let mut findings = Findings::default();
        read_version(&object, &mut findings);
        let mut patch = Patch { members: Vec::new(), lists: Vec::new() };
        for key in ["Version", "Limits"] {
            patch.replace_member(key, object.get(key));
        }
        for (key, raw) in read_nested(&object, "Upsert", &mut findings).iter() {
            patch.read_upsert(key, raw, &mut findings);
        }
        for (key, raw) in read_nested(&object, "Delete", &mut findings).iter() {
            patch.read_delete(key, raw, &mut findings);
        }
        findings.into_result()?;
        Ok(patch)
    }

    fn replace_member(&mut self, key: &str, raw: Option<&'a RawValue>) {
        self.members.extend(raw.map(|raw| (key.to_owned(), raw)));
    }

    fn read_upsert(&mut self, key: &str, raw: &'a RawValue, findings: &mut Findings) {
        let is_object = raw.get().starts_with('{');
        if is_object && !matches!(key, "Routes" | "Backends") {
            return self.replace_member(key, Some(raw));
        }
        let location = format!("Upsert.{key}");
        let items: Option<Vec<&'a RawValue>> = read_borrowed(raw, &location, findings);
        let list = self.list(key);
        for (index, item) in items.unwrap_or_default().into_iter().enumerate() {
            match name_of(item) {
                Some(name) => list.upsert.push((name, item)),
                None => findings.add(format!("{location}[{index}].Name"), "is missing or no string"),
            }
        }
    }

    fn read_delete(&mut self, key: &str, raw: &'a RawValue, findings: &mut Findings) {
        let names: Option<Vec<String>> = read_borrowed(raw, &format!("Delete.{key}"), findings);
        self.list(key).delete.extend(names.unwrap_or_default());
    }

    fn list(&mut self, key: &str) -> &mut ListChange<'a> {
        let index = self.lists.iter().position(|list| list.key == key).unwrap_or_else(|| {
            self.lists.push(ListChange { key: key.to_owned(), upsert: Vec::new(), delete: HashSet::new() });
            self.lists.len() - 1
        });
        &mut self.lists[index]
    }

    /// The text of the configuration that results when this change is applied to `base`.
    pub(super) fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Findings> {
        let base = read_object(base)?;
        let mut text = ObjectText::new();
        for (key, raw) in base.iter() {
            self.write_member(key, Some(raw), &base, &mut text)?;
        }
        for key in self.keys().filter(|key| !base.contains(key)) {
            self.write_member(key, None, &base, &mut text)?;
        }
        Ok(text.finish())
    }

    fn keys(&self) -> impl Iterator<Item = &str> {
        let members = self.members.iter().map(|(key, _)| key.as_str());
        members.chain(self.lists.iter().map(|list| list.key.as_str()))
    }

    fn write_member(
        &self,
        key: &str,
        old: Option<&RawValue>,
        base: &Members,
        text: &mut ObjectText,
    ) -> Result<(), Findings> {
        if let Some(list) = self.lists.iter().find(|list| list.key == key) {
            let mut findings = Findings::default();
            let items = read_list(base, key, &mut findings);
            findings.into_result()?;
            text.list(key, &list.apply(items));
            return Ok(());
        }
        let new = self.members.iter().rev().find(|(name, _)| name == key).map(|(_, raw)| *raw);
        if let Some(raw) = new.or(old) {
            text.member(key, raw.get());
        }
        Ok(())
    }
}

fn read_nested<'a>(object: &Members<'a>, key: &str, findings: &mut Findings) -> Members<'a> {
    let Some(raw) = object.get(key) else {
        return Members::default();
    };
    let nested: Members<'a> = read_borrowed(raw, key, findings).unwrap_or_default();
    nested.without_null()
}

impl ListChange<'_> {
    /// The texts of the list's items after the change.
    fn apply<'b>(&'b self, old: Vec<&'b RawValue>) -> Vec<&'b str> {
        let newest: HashMap<&str, &RawValue> =
            self.upsert.iter().map(|(name, item)| (name.as_ref(), *item)).collect();
        let mut written = HashSet::new();
        let mut texts = Vec::with_capacity(old.len() + self.upsert.len());
        for item in old {
            let name = name_of(item).unwrap_or_default();
            if self.delete.contains(name.as_ref()) {
                continue;
            }
            match newest.get_key_value(name.as_ref()) {
                // Of two items with the same name only the first is replaced, the other is dropped.
                Some((name, _)) if !written.insert(*name) => {}
                Some((_, item)) => texts.push(item.get()),
                None => texts.push(item.get()),
            }
        }
        for (name, _) in &self.upsert {
            let name = name.as_ref();
            if !self.delete.contains(name) && written.insert(name) {
                texts.push(newest[name].get());
            }
        }
        texts
    }
}

/// Writes the text of a JSON object member by member.
struct ObjectText(String);

impl ObjectText {
    fn new() -> Self {
        ObjectText(String::from("{"))
    }

    fn key(&mut self, key: &str) {
        if self.0.len() > 1 {
            self.0.push(',');
        }
        self.0.push_str(&serde_json::Value::from(key).to_string());
        self.0.push(':');
    }

    fn member(&mut self, key: &str, text: &str) {
        self.key(key);
        self.0.push_str(text);
    }

    fn list(&mut self, key: &str, items: &[&str]) {
        self.key(key);
        self.0.push('[');
        for (index, item) in items.iter().enumerate() {
            if index > 0 {
                self.0.push(',');
            }
            self.0.push_str(item);
        }
        self.0.push(']');
    }

    fn finish(mut self) -> Vec<u8> {
        self.0.push('}');
        self.0.into_bytes()
    }
}
