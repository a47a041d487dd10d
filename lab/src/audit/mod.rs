//! The auditor: judges the rules of the operators' pages by what the world saw, and by nothing else.

#[cfg(test)]
mod mutants;
mod record;
mod rules;

pub use record::{Call, Fate, Life, Message, Record, Sample};
pub use rules::RULES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One breach of a rule: when, and what was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Microseconds since the run began.
    pub at: u64,
    pub what: String,
}

/// By rule, what broke it; a rule that is kept has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict(pub BTreeMap<String, Vec<Breach>>);

impl Verdict {
    pub fn broken(&self) -> impl Iterator<Item = (&str, &[Breach])> {
        self.0.iter().filter(|(_, b)| !b.is_empty()).map(|(rule, b)| (rule.as_str(), &b[..]))
    }
}

pub fn judge(record: &Record) -> Verdict {
    let judged = RULES.iter().map(|(name, rule)| {
        let mut breaches = rule(record);
        breaches.sort_by_key(|b| b.at);
        ((*name).to_owned(), breaches)
    });
    Verdict(judged.collect())
}
