//! How many days passed, and what broke in the others.

use super::bench::Played;
use super::report::Break;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// The result of many days.
#[derive(Debug, Default)]
pub struct Summary {
    played: usize,
    passed: usize,
    /// Days in which each rule was broken.
    days_by_rule: BTreeMap<String, usize>,
    not_played: usize,
}

impl Summary {
    /// Takes a day in. Gives what a reader should see of it, if it did not pass.
    pub fn add(&mut self, day: &Played) -> Option<String> {
        let report = match &day.outcome {
            Ok(report) => report,
            Err(error) => {
                self.not_played += 1;
                return Some(format!("{}: not played: {error}", day.name));
            }
        };
        self.played += 1;
        if report.has_passed() {
            self.passed += 1;
            return None;
        }
        for rule in report.breaks.keys() {
            *self.days_by_rule.entry(rule.clone()).or_default() += 1;
        }
        let mut lines = vec![format!("{}: {:?}", day.name, report.breaks)];
        lines.extend(report.fault.iter().map(|fault| format!("  fault: {fault}")));
        lines.extend(report.missed_floors.iter().map(|floor| format!("  below a floor: {floor}")));
        lines.extend(report.first_breaks.iter().flat_map(lines_of));
        Some(lines.join("\n"))
    }

    /// Whether every day was played and passed.
    pub fn is_clean(&self) -> bool {
        self.not_played == 0 && self.passed == self.played
    }
}

fn lines_of(broken: &Break) -> Vec<String> {
    let mut lines = vec![format!("  {} at {:.3} s: {}", broken.rule, broken.at_s, broken.what)];
    lines.extend(broken.history.iter().map(|event| format!("    {event}")));
    lines
}

impl Display for Summary {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {} days passed", self.passed, self.played)?;
        for (rule, days) in &self.days_by_rule {
            write!(formatter, "; {rule} broken in {days}")?;
        }
        match self.not_played {
            0 => Ok(()),
            count => write!(formatter, "; {count} more not played"),
        }
    }
}
