//! Scenarios and their text form: a header line, then one step per line.

use super::step::Step;
use std::fmt;
use std::str::FromStr;

/// Initial conditions and steps of a simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    /// Controllers that bootstrap the group.
    pub founders: usize,
    /// Further controllers.
    pub spares: usize,
    /// Whether the spares are started by steps instead of at the beginning.
    pub spares_late: bool,
    /// Zone of each controller, by number. If any are given, groups have to survive the loss of one zone.
    pub zones: Vec<usize>,
    /// How many of the spares, the last ones, are on machines that do not count for a majority.
    pub uncounted: usize,
    /// Whether disks are lost only as long as the fault tolerance allows it; random scenarios ask for it.
    pub within_tolerance: bool,
    /// Routers, each with an agent.
    pub routers: usize,
    /// Endpoints, which belong alternately to two services.
    pub endpoints: usize,
    /// Seed of delays, losses and all other random choices.
    pub seed: u64,
    /// The steps.
    pub steps: Vec<Step>,
}

/// Why a text cannot be parsed as a scenario.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum ParseError {
    /// The first line is not a valid header.
    #[error(
        "line {0}: expected \
         'founders N spares N [zones N,N,...] [uncounted N] [late] [within-tolerance] routers N endpoints N seed N'"
    )]
    Header(usize),
    /// A later line is not a valid step.
    #[error("line {0}: no such step: {1}")]
    Step(usize, String),
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late = if self.spares_late { " late" } else { "" };
        let within = if self.within_tolerance { " within-tolerance" } else { "" };
        let zones: Vec<String> = self.zones.iter().map(ToString::to_string).collect();
        let zones = if zones.is_empty() { String::new() } else { format!(" zones {}", zones.join(",")) };
        let uncounted =
            if self.uncounted == 0 { String::new() } else { format!(" uncounted {}", self.uncounted) };
        let Scenario { founders, spares, routers, endpoints, seed, .. } = self;
        writeln!(
            formatter,
            "founders {founders} spares {spares}{zones}{uncounted}{late}{within} routers {routers} endpoints {endpoints} \
             seed {seed}"
        )?;
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
    let spares_late = line.contains(" late ");
    let within_tolerance = line.contains(" within-tolerance ");
    let optional = ["late", "within-tolerance"];
    let mut words: Vec<&str> = line.split_whitespace().filter(|word| !optional.contains(word)).collect();
    let zones = match take_option(&mut words, "zones")? {
        Some(list) => list.split(',').map(|zone| zone.parse().ok()).collect::<Option<_>>()?,
        None => Vec::new(),
    };
    let uncounted = take_option(&mut words, "uncounted")?.map_or(Some(0), |count| count.parse().ok())?;
    let ["founders", founders, "spares", spares, "routers", routers, "endpoints", endpoints, "seed", seed] =
        *words.as_slice()
    else {
        return None;
    };
    Some(Scenario {
        founders: founders.parse().ok()?,
        spares: spares.parse().ok()?,
        spares_late,
        zones,
        uncounted,
        within_tolerance,
        routers: routers.parse().ok()?,
        endpoints: endpoints.parse().ok()?,
        seed: seed.parse().ok()?,
        steps: Vec::new(),
    })
}

/// Removes an option and its value from the words of a header. Returns the value, or `Some(None)` without that option;
/// `None` if the value is missing.
fn take_option<'a>(words: &mut Vec<&'a str>, option: &str) -> Option<Option<&'a str>> {
    let Some(at) = words.iter().position(|word| *word == option) else { return Some(None) };
    let value = *words.get(at + 1)?;
    words.drain(at..=at + 1);
    Some(Some(value))
}
