//! Where the value of a played day was lost: the parts of its figure and its prices, as points that add up to what
//! it lacks of 1, with the moments and kinds of requests that stand behind them.

use serde::Deserialize;
use std::fmt;

/// Losses below this are reported as one sum, points.
const MIN_REPORTED_LOSS: f64 = 0.000_5;

/// Windows that are reported, the worst first.
const REPORTED_WINDOWS: usize = 4;

/// What is read of the report that the bench writes of one day (`--report`).
#[derive(Debug, Clone, Deserialize)]
pub struct DayReport {
    /// The day's figure: parts less prices, before its place between the day's marks.
    #[serde(rename = "G")]
    figure: f64,
    parts: Vec<(String, f64, f64)>,
    prices: Vec<(String, f64, f64)>,
    classes: Vec<Counts>,
    windows: Vec<Counts>,
}

/// Requests of one kind, or of one window of seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Counts {
    name: String,
    n: u64,
    late: u64,
    refused: u64,
    failed: u64,
    /// Share of its value that was earned.
    #[serde(rename = "worth")]
    earned: f64,
}

/// Points lost for one reason.
#[derive(Debug, Clone, PartialEq)]
pub struct Loss {
    /// The part of the figure, or the price, with its amount.
    pub cause: String,
    /// What it takes off a figure of 1.
    pub points: f64,
}

impl DayReport {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// When the text is no report of a day.
    pub fn read(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// All losses, the largest first; they add up to [`DayReport::lacking`].
    pub fn losses(&self) -> Vec<Loss> {
        let parts = self.parts.iter().map(|(name, weight, earned)| Loss {
            cause: format!("{name}: {earned:.3} of 1, weight {weight}"),
            points: weight * (1.0 - earned),
        });
        let prices = self.prices.iter().map(|(name, amount, points)| Loss {
            cause: format!("price: {amount:.3} {name}"),
            points: *points,
        });
        let mut losses: Vec<Loss> = parts.chain(prices).collect();
        losses.sort_by(|one, other| other.points.total_cmp(&one.points));
        losses
    }

    /// What the day lacks of a figure of 1, points.
    pub fn lacking(&self) -> f64 {
        1.0 - self.figure
    }

    /// The windows that served the least of their value, the worst first.
    pub fn worst_windows(&self) -> Vec<&Counts> {
        let mut windows: Vec<&Counts> = self.windows.iter().collect();
        windows.sort_by(|one, other| one.earned.total_cmp(&other.earned));
        windows.truncate(REPORTED_WINDOWS);
        windows
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { name, n, late, refused, failed, earned } = self;
        write!(
            formatter,
            "{name}: {earned:.3} of {n} requests; late {late}, refused {refused}, failed {failed}"
        )
    }
}

impl fmt::Display for DayReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (reported, small): (Vec<Loss>, Vec<Loss>) =
            self.losses().into_iter().partition(|loss| loss.points >= MIN_REPORTED_LOSS);
        for loss in &reported {
            writeln!(formatter, "{:8.4}  {}", loss.points, loss.cause)?;
        }
        let rest: f64 = small.iter().map(|loss| loss.points).sum();
        writeln!(formatter, "{rest:8.4}  all smaller ones")?;
        writeln!(formatter, "{:8.4}  lost in all", self.lacking())?;
        for window in self.worst_windows() {
            writeln!(formatter, "from second {window}")?;
        }
        for class in &self.classes {
            writeln!(formatter, "{class}")?;
        }
        Ok(())
    }
}
