//! Scenarios and their text form: a header line, then one step per line.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use super::step::Step;

/// The machines of a run and its steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Number of bootstrap members.
    pub bootstrap_members: usize,
    /// Number of machines that may join later.
    pub spares: usize,
    /// Seed of all random choices during the run.
    pub seed: u64,
    /// The steps.
    pub steps: Vec<Step>,
}

/// Why a text is not a scenario.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The first line must say `founders N spares N seed N`.
    #[error("line {0}: expected 'founders N spares N seed N'")]
    Header(usize),
    /// A later line is not a step.
    #[error("line {0}: no such step: {1}")]
    Step(usize, String),
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "founders {} spares {} seed {}", self.bootstrap_members, self.spares, self.seed)?;
        self.steps.iter().try_for_each(|step| writeln!(formatter, "{step}"))
    }
}

impl FromStr for Scenario {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let lines = text.lines().enumerate().map(|(index, line)| {
            let code = line.split('#').next().unwrap_or_default();
            (index + 1, code.trim())
        });
        let mut lines = lines.filter(|(_, line)| !line.is_empty());
        let (number, header) = lines.next().unwrap_or((1, ""));
        let mut scenario = parse_header(header).ok_or(ParseError::Header(number))?;
        for (number, line) in lines {
            let step = line.parse().map_err(|_| ParseError::Step(number, line.to_owned()))?;
            scenario.steps.push(step);
        }
        Ok(scenario)
    }
}

fn parse_header(line: &str) -> Option<Scenario> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["founders", bootstrap_members, "spares", spares, "seed", seed] = *words.as_slice() else {
        return None;
    };
    let steps = Vec::new();
    Some(Scenario {
        bootstrap_members: bootstrap_members.parse().ok()?,
        spares: spares.parse().ok()?,
        seed: seed.parse().ok()?,
        steps,
    })
}
