//! Two couriers on the same seeds, played in turn: medians, the ratio pair by pair, and whether there is a
//! difference at all.

use crate::draw;
use crate::experiment::Experiment;
use crate::run::{self, Options, Outcome};
use crate::summary::Summary;
use anyhow::Result;
use rand::Rng;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// A name, and how it is read.
pub type Figure = (&'static str, fn(&Summary) -> f64);

/// What is compared, in figures where the ratio tells something.
pub const FIGURES: &[Figure] = &[
    ("worth", |s| s.worth),
    ("delivered", |s| s.delivered as f64),
    ("p50 ms", |s| s.latency.p50),
    ("p99 ms", |s| s.latency.p99),
    ("answer p50 ms", |s| s.answer.p50),
    ("answer p99 ms", |s| s.answer.p99),
    ("calls", |s| s.destinations.iter().map(|d| d.calls).sum::<u64>() as f64),
    ("refused there", |s| s.destinations.iter().map(|d| d.refused).sum::<u64>() as f64),
    ("connections", |s| s.destinations.iter().map(|d| d.connections).sum::<u64>() as f64),
    ("back after s", |s| s.returned.as_ref().map_or(0.0, |r| r.back_after.unwrap_or(f64::INFINITY))),
    ("refused then", |s| s.returned.as_ref().map_or(0.0, |r| r.refused as f64)),
    ("cpu s", |s| s.couriers.iter().map(|c| c.cpu).sum()),
    ("memory MB", |s| s.couriers.iter().map(|c| c.memory_mb).fold(0.0, f64::max)),
];

/// Draws of the bootstrap, and the part of them that lies within the interval.
const DRAWS: usize = 4000;
const WITHIN: f64 = 0.95;
/// A ratio nearer to 1 than this is no difference that anybody would act on.
const EVEN: f64 = 0.005;

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub figure: &'static str,
    pub medians: [f64; 2],
    /// B over A, pair by pair: the median, and its interval.
    pub ratio: f64,
    pub interval: [f64; 2],
}

impl Row {
    pub fn differs(&self) -> bool {
        let [from, to] = self.interval;
        (from > 1.0 || to < 1.0) && (self.ratio - 1.0).abs() > EVEN
    }
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => values[n / 2],
        n => (values[n / 2 - 1] + values[n / 2]) / 2.0,
    }
}

/// The two values of a pair; a figure that is 0 on both sides is the same on both.
fn ratio((a, b): (f64, f64)) -> f64 {
    if a == b { 1.0 } else { b / a.max(1e-9) }
}

/// One figure over all pairs. The bootstrap draws pairs, since a seed weighs on both of its plays.
pub fn row(figure: &'static str, pairs: &[(f64, f64)]) -> Row {
    let ratios: Vec<f64> = pairs.iter().copied().map(ratio).collect();
    let mut rng = draw::generator(pairs.len() as u64, figure);
    let mut medians: Vec<f64> = (0..DRAWS)
        .map(|_| {
            let mut drawn: Vec<f64> =
                ratios.iter().map(|_| ratios[rng.random_range(0..ratios.len())]).collect();
            median(&mut drawn)
        })
        .collect();
    medians.sort_by(f64::total_cmp);
    let at = |part: f64| medians[((DRAWS - 1) as f64 * part).round() as usize];
    let side = |of: fn(&(f64, f64)) -> f64| median(&mut pairs.iter().map(of).collect::<Vec<_>>());
    Row {
        figure,
        medians: [side(|p| p.0), side(|p| p.1)],
        ratio: median(&mut ratios.clone()),
        interval: [at((1.0 - WITHIN) / 2.0), at(1.0 - (1.0 - WITHIN) / 2.0)],
    }
}

/// Plays both on each seed, A first on every second one, and tells what came of it.
pub fn compare(
    experiment: &Experiment,
    sides: [&Path; 2],
    seeds: &[u64],
    out: &Path,
) -> Result<(String, Outcome)> {
    let mut pairs: Vec<[Summary; 2]> = Vec::new();
    let (mut text, mut outcome) = (String::new(), Outcome::Holds);
    for (n, seed) in seeds.iter().enumerate() {
        let mut played: [Option<Summary>; 2] = [None, None];
        for turn in 0..2 {
            let side = (turn + n) % 2;
            let name = ["a", "b"][side];
            let to: PathBuf = out.join(format!("{seed}-{name}"));
            let options = Options { seed: *seed, out: to, courier: sides[side].to_owned() };
            let finished = run::run(experiment, &options)?;
            if finished.outcome == Outcome::Invalid {
                return Ok((format!("seed {seed}, {name}: the lab itself was late"), Outcome::Invalid));
            }
            for failed in &finished.summary.failed {
                outcome = Outcome::Fails;
                writeln!(text, "seed {seed}, {name} does not hold: {failed}")?;
            }
            played[side] = Some(finished.summary);
        }
        if let [Some(a), Some(b)] = played {
            pairs.push([a, b]);
        }
    }
    writeln!(text, "{} with seeds {seeds:?}, each side once a seed", experiment.name)?;
    writeln!(text, "{:16} {:>12} {:>12} {:>8}   95% interval", "figure", "A", "B", "B/A")?;
    let mut different = 0;
    for (figure, of) in FIGURES {
        let pairs: Vec<_> = pairs.iter().map(|[a, b]| (of(a), of(b))).collect();
        let row = row(figure, &pairs);
        let word = if row.differs() { "differs" } else { "" };
        different += usize::from(row.differs());
        let [a, b] = row.medians;
        let [from, to] = row.interval;
        writeln!(text, "{figure:16} {a:12.4} {b:12.4} {:8.4}   {from:.4} to {to:.4}  {word}", row.ratio)?;
    }
    match different {
        0 => writeln!(text, "no difference")?,
        n => writeln!(text, "{n} figures differ")?,
    }
    Ok((text, outcome))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn noise_is_no_difference_and_a_shift_is_one() {
        let noise: Vec<_> = [1.0, 1.02, 0.98, 1.01, 0.99].map(|r| (10.0, 10.0 * r)).into();
        assert!(!row("noise", &noise).differs());
        let shift: Vec<_> = [1.1, 1.12, 1.08, 1.11, 1.09].map(|r| (10.0, 10.0 * r)).into();
        let shift = row("shift", &shift);
        assert!(shift.differs());
        assert!((shift.ratio - 1.1).abs() < 1e-9 && shift.interval[0] >= 1.08 && shift.interval[1] <= 1.12);
        assert!(!row("nothing", &[(0.0, 0.0), (0.0, 0.0)]).differs());
    }

    #[test]
    fn medians_are_of_the_middle() {
        assert_eq!(median(&mut [3.0, 1.0, 2.0]), 2.0);
        assert_eq!(median(&mut [4.0, 1.0, 2.0, 3.0]), 2.5);
    }
}
