//! The story of one message: what the world saw of it under any of its ids, and what couriers logged.

use crate::event::{self, Event, What};
use crate::run::RECORD;
use anyhow::{Result, bail};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Tells it by any one of its ids.
pub fn tell(folder: &Path, id: &str) -> Result<String> {
    let events = event::read(&folder.join(RECORD))?;
    let of = |wanted: &dyn Fn(&str, usize) -> bool| -> BTreeSet<(String, usize)> {
        let offered = events.iter().filter_map(|e| match &e.1 {
            What::Offered { id, message, .. } => Some((id.clone(), *message)),
            _ => None,
        });
        offered.filter(|(id, message)| wanted(id, *message)).collect()
    };
    let Some((_, message)) = of(&|i, _| i == id).pop_first() else {
        bail!("{}: no message was handed in under {id:?}", folder.display());
    };
    let ids: BTreeSet<String> = of(&|_, m| m == message).into_iter().map(|(id, _)| id).collect();
    let called = |e: &Event| match &e.1 {
        What::Called { call, id, .. } if ids.contains(id) => Some(*call),
        _ => None,
    };
    let calls: BTreeSet<u64> = events.iter().filter_map(called).collect();
    let mut text = format!("message {message}, handed in {} times\n", ids.len());
    for Event(at, what) in &events {
        let concerns = match what {
            What::Offered { id, .. }
            | What::Answered { id, .. }
            | What::Unanswered { id, .. }
            | What::GivenUp { id, .. }
            | What::Called { id, .. }
            | What::Noticed { id, .. } => ids.contains(id),
            What::CallEnded { call, .. } | What::Ran { call, .. } => calls.contains(call),
            _ => false,
        };
        if concerns {
            writeln!(text, "{:12.6}  {}", *at as f64 / 1e6, serde_json::to_string(what)?)?;
        }
    }
    let mut machines: Vec<_> = fs::read_dir(folder.join("couriers"))?.flatten().map(|f| f.path()).collect();
    machines.sort();
    for machine in machines {
        let log = fs::read(machine.join("log")).unwrap_or_default();
        let name = machine.file_name().unwrap_or_default().to_string_lossy().into_owned();
        for line in String::from_utf8_lossy(&log).lines().filter(|l| ids.iter().any(|id| l.contains(id))) {
            writeln!(text, "{name}: {line}")?;
        }
    }
    Ok(text)
}
