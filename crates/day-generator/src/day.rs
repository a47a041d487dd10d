//! A drawn day and its text.

use std::fmt::{self, Display, Formatter};
use toml::{Table, Value};

/// One fault, or one piece of planned work, of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Seconds from the start of traffic.
    pub at: f64,
    /// Name of the kind.
    pub kind: &'static str,
    /// Words of the variant, in their order.
    pub how: Vec<&'static str>,
    /// Strength, length, number and place.
    pub fields: Table,
}

impl Entry {
    /// The entry as it stands in a day file.
    pub fn to_table(&self) -> Table {
        let mut table = Table::new();
        table.insert("at".into(), Value::Float(self.at));
        table.insert("kind".into(), Value::String(self.kind.into()));
        table.extend(self.fields.clone());
        if !self.how.is_empty() {
            table.insert("how".into(), Value::String(self.how.join(" ")));
        }
        table
    }
}

/// A day, in the format of a `[[day]]` of a site file.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    /// Where it comes from, for a reader.
    pub origin: String,
    /// Name, marks, floors and closing.
    pub head: Table,
    /// Planned work.
    pub plan: Vec<Table>,
    /// All other faults.
    pub faults: Vec<Table>,
    /// What clients send.
    pub traffic: Vec<Table>,
}

impl Display for Day {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "# {}", self.origin)?;
        for (key, value) in &self.head {
            writeln!(formatter, "{key} = {value}")?;
        }
        write_entries(formatter, "plan", &self.plan)?;
        write_entries(formatter, "faults", &self.faults)?;
        write_entries(formatter, "traffic", &self.traffic)
    }
}

/// Writes a list of tables, each on a line of its own.
fn write_entries(formatter: &mut Formatter<'_>, key: &str, entries: &[Table]) -> fmt::Result {
    writeln!(formatter, "{key} = [")?;
    for entry in entries {
        writeln!(formatter, "  {},", Value::Table(entry.clone()))?;
    }
    writeln!(formatter, "]")
}
