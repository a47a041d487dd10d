//! Patches against a simple model of lists of items.

use lanegate_config::configuration::Document;
use proptest::prelude::*;
use serde_json::{Value, json};

/// An item: its name, and a value that distinguishes it from others of that name.
type Item = (u8, u8);

#[derive(Debug, Clone)]
struct Change {
    upsert: Vec<Item>,
    delete: Vec<u8>,
}

fn item((name, mark): &Item) -> Value {
    json!({ "Name": format!("b{name}"), "MaxConns": mark, "Extra": { "Mark": mark } })
}

fn items(list: &[Item]) -> Vec<Value> {
    list.iter().map(item).collect()
}

fn apply(list: &[Item], change: &Change) -> Vec<Item> {
    let mut list = list.to_vec();
    for item in &change.upsert {
        match list.iter_mut().find(|(name, _)| *name == item.0) {
            Some(old) => *old = *item,
            None => list.push(*item),
        }
    }
    list.retain(|(name, _)| !change.delete.contains(name));
    list
}

fn changes() -> impl Strategy<Value = Change> {
    let upsert = prop::collection::vec((0..8_u8, any::<u8>()), 0..5);
    let delete = prop::collection::vec(0..8_u8, 0..4);
    (upsert, delete).prop_map(|(upsert, delete)| Change { upsert, delete })
}

proptest! {
    #[test]
    fn sequence_of_patches_matches_model(
        marks in prop::collection::vec(any::<u8>(), 0..6),
        changes in prop::collection::vec(changes(), 1..6),
    ) {
        let mut list: Vec<Item> = marks.into_iter().enumerate().map(|(name, mark)| (name as u8, mark)).collect();
        let first = json!({ "Version": 1, "Note": 1.5, "Backends": items(&list), "Limits": { "MaxBodyBytes": 7 } });
        let mut document = Document::parse(first.to_string()).unwrap();
        for (index, change) in changes.iter().enumerate() {
            let names: Vec<String> = change.delete.iter().map(|name| format!("b{name}")).collect();
            let patch = json!({
                "Version": index + 2,
                "Upsert": { "Backends": items(&change.upsert) },
                "Delete": { "Backends": names },
            });
            document = document.patch(patch.to_string().as_bytes()).unwrap();
            list = apply(&list, change);
        }
        let expected = json!({
            "Version": changes.len() + 1,
            "Note": 1.5,
            "Backends": items(&list),
            "Limits": { "MaxBodyBytes": 7 },
        });
        let text: Value = serde_json::from_slice(&document.serialize()).unwrap();
        prop_assert_eq!(text, expected);
        let typed: Vec<_> = document.configuration().backends.iter().map(|backend| backend.max_conns).collect();
        let marks: Vec<_> = list.iter().map(|(_, mark)| Some(u32::from(*mark))).collect();
        prop_assert_eq!(typed, marks);
    }
}
