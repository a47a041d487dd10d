//! A grid over keys and seeds: one row a run, as tab-separated text, and a plot where one key was swept.

use super::compare::FIGURES;
use super::plot::{Line, Plot};
use crate::experiment::Experiment;
use crate::run::{self, Options, Outcome};
use anyhow::{Context, Result};
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Values of one key: `load.rate=100,200,400`.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    pub key: String,
    pub values: Vec<String>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (key, values) = text.split_once('=').ok_or_else(|| format!("{text:?}: no `=`"))?;
        let values: Vec<String> = values.split(',').map(|v| v.trim().to_owned()).collect();
        if key.is_empty() || values.iter().any(String::is_empty) {
            return Err(format!("{text:?}: a key and its values, as in load.rate=100,200"));
        }
        Ok(Axis { key: key.to_owned(), values })
    }
}

/// All combinations, the last key varying fastest.
pub fn grid(axes: &[Axis]) -> Vec<Vec<String>> {
    axes.iter().fold(vec![Vec::new()], |rows, axis| {
        let longer = |row: &Vec<String>| {
            axis.values.iter().map(|v| [&row[..], std::slice::from_ref(v)].concat()).collect::<Vec<_>>()
        };
        rows.iter().flat_map(longer).collect()
    })
}

/// What is plotted of a run: messages a second asked for and delivered, and the latency in ms.
struct Point {
    values: Vec<String>,
    rates: [f64; 2],
    p99: f64,
}

pub struct Sweep<'a> {
    pub file: &'a Path,
    pub set: &'a [String],
    pub axes: &'a [Axis],
    pub seeds: &'a [u64],
    pub courier: &'a Path,
    pub out: &'a Path,
}

impl Sweep<'_> {
    /// Plays all; the worst outcome counts.
    pub fn play(&self) -> Result<Outcome> {
        let mut table = String::new();
        let keys = self.axes.iter().map(|a| a.key.as_str());
        let figures = FIGURES.iter().map(|(name, _)| *name);
        let heads = keys.chain(["seed"]).chain(figures).chain([
            "asked a second",
            "delivered a second",
            "refused",
            "given up",
            "outcome",
        ]);
        writeln!(table, "{}", heads.collect::<Vec<_>>().join("\t"))?;
        print!("{table}");
        let (mut worst, mut points) = (Outcome::Holds, Vec::new());
        for values in grid(self.axes) {
            let pairs = self.axes.iter().zip(&values).map(|(axis, value)| format!("{}={value}", axis.key));
            let set: Vec<_> = self.set.iter().cloned().chain(pairs).collect();
            let experiment = Experiment::read(self.file, &set)?;
            for seed in self.seeds {
                let name = values.iter().map(|v| v.replace(|c: char| !c.is_alphanumeric(), "_"));
                let out = self.out.join(format!("{}-{seed}", name.collect::<Vec<_>>().join("-")));
                let options = Options { seed: *seed, out, courier: self.courier.to_owned() };
                let finished = run::run(&experiment, &options)?;
                let s = &finished.summary;
                let rates = [s.messages as f64 / experiment.seconds, s.goodput(experiment.seconds)];
                let figures = FIGURES.iter().map(|(_, of)| format!("{:.4}", of(s)));
                let turned =
                    [s.refused.to_string(), s.given_up.to_string(), format!("{:?}", finished.outcome)];
                let rest = rates.iter().map(|r| format!("{r:.1}")).chain(turned);
                let row = values.iter().cloned().chain([seed.to_string()]).chain(figures).chain(rest);
                let row = row.collect::<Vec<_>>().join("\t");
                println!("{row}");
                writeln!(table, "{row}")?;
                points.push(Point { values: values.clone(), rates, p99: s.latency.p99 });
                worst = worst.max(finished.outcome);
            }
        }
        fs::create_dir_all(self.out).with_context(|| self.out.display().to_string())?;
        fs::write(self.out.join("sweep.tsv"), &table)?;
        if let [axis] = self.axes {
            let number = |values: &[String]| values[0].parse::<f64>().ok();
            let of = |value: fn(&Point) -> f64| -> Vec<_> {
                points.iter().filter_map(|p| Some((number(&p.values)?, value(p)))).collect()
            };
            let plot = |title: &str, up: &str, lines| Plot {
                title: title.to_owned(),
                across: axis.key.clone(),
                up: up.to_owned(),
                lines,
                marks: Vec::new(),
                points: true,
            };
            let goodput =
                vec![Line::new("asked", of(|p| p.rates[0])), Line::new("delivered", of(|p| p.rates[1]))];
            let plots = [
                ("goodput", plot("Messages asked for and delivered", "messages a second", goodput)),
                (
                    "p99",
                    plot("Time to delivery, 99th percentile", "ms", vec![Line::new("p99", of(|p| p.p99))]),
                ),
            ];
            for (name, plot) in plots {
                if plot.lines.iter().all(|l| !l.points.is_empty()) {
                    fs::write(self.out.join(format!("{name}.svg")), plot.svg()?)?;
                }
            }
        }
        Ok(worst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grid_has_all_combinations() {
        let axes: Vec<Axis> = ["a=1,2", "b=x,y,z"].map(|t| t.parse().expect("an axis")).into();
        let grid = grid(&axes);
        assert_eq!(
            (grid.len(), &grid[0], &grid[5]),
            (6, &vec!["1".into(), "x".into()], &vec!["2".into(), "z".into()])
        );
        assert!("load.rate".parse::<Axis>().is_err() && "a=1,,2".parse::<Axis>().is_err());
    }
}
