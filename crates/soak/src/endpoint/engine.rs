//! The models of an engine, and what it does with orders.

use crate::catalog::{ADAPTER_TIME, LOAD_TIME, find_model};
use crate::journal::OrderFacts;
use lanegate_placement::Operation;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A report tells how things stood so long ago.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// The body of an order.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct OrderBody {
    pub operation: Operation,
    pub model: String,
    #[serde(default)]
    pub adapter: Option<String>,
    #[serde(default)]
    pub if_revision: Option<u64>,
    pub owner: String,
    pub fencing_token: u64,
}

impl OrderBody {
    /// What the journal keeps of it.
    pub fn facts(&self) -> OrderFacts {
        OrderFacts {
            operation: self.operation,
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            owner: self.owner.clone(),
            token: self.fencing_token,
        }
    }
}

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being done.
    Accepted,
    /// It holds already.
    AlreadyDone,
    /// Another is under way, or the number of orders is another.
    Conflict,
    /// There is no such order.
    Invalid,
}

impl OrderReply {
    /// Status of the answer.
    pub fn status(self) -> u16 {
        match self {
            OrderReply::Accepted => 202,
            OrderReply::AlreadyDone => 200,
            OrderReply::Conflict => 409,
            OrderReply::Invalid => 400,
        }
    }
}

/// Whether a request can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    Held,
    /// An order that concerns it is under way.
    Changing,
    Absent,
}

/// The model and adapter that a run needs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunOf {
    pub model: String,
    pub adapter: Option<String>,
}

impl RunOf {
    /// Whether an order takes away what the run needs.
    fn needs(&self, order: &OrderFacts) -> bool {
        self.model == order.model && (order.adapter.is_none() || order.adapter == self.adapter)
    }
}

/// The models and adapters of one incarnation.
#[derive(Debug, Default)]
pub struct Engine {
    held: BTreeMap<String, BTreeSet<String>>,
    underway: Option<OrderFacts>,
    /// Models held at any time; they load sooner.
    on_disk: BTreeSet<String>,
    /// Orders taken.
    sequence: u64,
    /// Runs of each model, by adapter.
    runs: BTreeMap<RunOf, u32>,
    reports: VecDeque<(Duration, Value)>,
}

impl Engine {
    /// An engine that holds these models from its start.
    pub fn holding(models: &[&str]) -> Self {
        let held = models.iter().map(|model| ((*model).to_owned(), BTreeSet::new())).collect();
        Engine { held, ..Engine::default() }
    }

    /// Names of the models it holds.
    pub fn models(&self) -> Vec<String> {
        self.held.keys().cloned().collect()
    }

    /// Takes an order, or does not.
    pub fn take(&mut self, now: Duration, body: &OrderBody) -> OrderReply {
        if self.underway.is_some() || body.if_revision.is_some_and(|expected| expected != self.sequence) {
            return OrderReply::Conflict;
        }
        let Some(holds) = self.holds(body) else { return OrderReply::Invalid };
        self.sequence += 1;
        if holds == (body.operation == Operation::Load) {
            self.remember(now);
            return OrderReply::AlreadyDone;
        }
        self.underway = Some(body.facts());
        self.remember(now);
        OrderReply::Accepted
    }

    /// Whether what the order names is held; `None` if it names nothing that there is.
    fn holds(&self, body: &OrderBody) -> Option<bool> {
        let model = find_model(&body.model)?;
        let adapters = self.held.get(&body.model);
        match &body.adapter {
            None => Some(adapters.is_some()),
            Some(adapter) if has_adapter(model.adapters, adapter) => {
                adapters.map(|adapters| adapters.contains(adapter))
            }
            Some(_) => None,
        }
    }

    /// How long the order under way takes; an eviction also waits for its runs.
    pub fn time_needed(&self, order: &OrderFacts) -> Duration {
        match (order.operation, &order.adapter) {
            (Operation::Load, None) if self.on_disk.contains(&order.model) => LOAD_TIME / 2,
            (Operation::Load, None) => LOAD_TIME,
            _ => ADAPTER_TIME,
        }
    }

    /// Whether runs still need what the order under way takes away.
    pub fn is_needed(&self, order: &OrderFacts) -> bool {
        order.operation == Operation::Evict
            && self.runs.iter().any(|(run, count)| *count > 0 && run.needs(order))
    }

    /// The order under way is done.
    pub fn finish(&mut self, now: Duration) -> Option<OrderFacts> {
        let order = self.underway.take()?;
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => {
                self.on_disk.insert(order.model.clone());
                self.held.entry(order.model.clone()).or_default();
            }
            (Operation::Evict, None) => drop(self.held.remove(&order.model)),
            (Operation::Load, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&order.model) {
                    adapters.insert(adapter.clone());
                }
            }
            (Operation::Evict, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
            }
        }
        self.remember(now);
        Some(order)
    }

    /// Whether a request for this model, and adapter, can run.
    pub fn holding_of(&self, model: &str, adapter: Option<&str>) -> Holding {
        let concerns = |order: &OrderFacts| {
            order.model == model && (order.adapter.is_none() || order.adapter.as_deref() == adapter)
        };
        if self.underway.as_ref().is_some_and(concerns) {
            return Holding::Changing;
        }
        match (self.held.get(model), adapter) {
            (Some(adapters), Some(adapter)) if !adapters.contains(adapter) => Holding::Absent,
            (Some(_), _) => Holding::Held,
            (None, _) => Holding::Absent,
        }
    }

    /// A run begins.
    pub fn begin_run(&mut self, run: RunOf) {
        *self.runs.entry(run).or_default() += 1;
    }

    /// A run has ended.
    pub fn end_run(&mut self, run: &RunOf) {
        if let Some(runs) = self.runs.get_mut(run) {
            *runs = runs.saturating_sub(1);
        }
    }

    /// Models as registrations and reports tell them.
    pub fn models_value(&self) -> Value {
        let model = |(name, adapters): (&String, &BTreeSet<String>)| json!({ "Name": name, "Version": 1, "Adapters": adapters });
        self.held.iter().map(model).collect()
    }

    /// The report, as it stood some time ago.
    pub fn report(&mut self, now: Duration, active: u32) -> Value {
        self.remember(now);
        let until = now.saturating_sub(REPORT_AGE);
        while self.reports.len() > 1 && self.reports[1].0 <= until {
            self.reports.pop_front();
        }
        let mut report = self.reports.front().map(|(_, report)| report.clone()).unwrap_or_default();
        report["Active"] = json!(active);
        report
    }

    fn remember(&mut self, now: Duration) {
        let report = json!({
            "Phase": "prefill_decode", "Models": self.models_value(), "Busy": self.underway.is_some(),
            "Sequence": self.sequence, "Queued": 0, "Active": 0, "KvUsed": 0, "KvCapacity": 200_000, "Handles": 0,
        });
        if self.reports.back().is_none_or(|(_, last)| *last != report) {
            self.reports.push_back((now, report));
        }
    }
}

/// Adapters of a model are `a1`, `a2` and so on.
fn has_adapter(count: u32, adapter: &str) -> bool {
    let number = adapter.strip_prefix('a').and_then(|number| number.parse::<u32>().ok());
    number.is_some_and(|number| (1..=count).contains(&number))
}
