//! The vocabulary between the placer and the I/O around it.

use lanegate_config::instance::ResidentModel;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of an order; never used twice by one placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// A model, or one adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Item {
    pub model: Arc<str>,
    pub adapter: Option<Arc<str>>,
}

impl Item {
    /// The weights of a model.
    pub fn model(model: Arc<str>) -> Item {
        Item { model, adapter: None }
    }

    /// An adapter of a model.
    pub fn adapter(model: Arc<str>, adapter: Arc<str>) -> Item {
        Item { model, adapter: Some(adapter) }
    }

    /// Whether this is a model rather than an adapter.
    pub fn is_model(&self) -> bool {
        self.adapter.is_none()
    }
}

/// What an order asks of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    Load,
    Evict,
}

/// One order to one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    pub id: OrderId,
    pub instance: Arc<str>,
    pub address: SocketAddr,
    pub operation: Operation,
    pub model: Arc<str>,
    pub adapter: Option<Arc<str>>,
    /// Number of orders that the endpoint is expected to have taken so far: what the order rests on is known to hold
    /// at that count, and the endpoint refuses the order at any other.
    pub if_revision: u64,
}

impl Order {
    /// What it is to load or evict.
    pub fn item(&self) -> Item {
        Item { model: self.model.clone(), adapter: self.adapter.clone() }
    }
}

/// What the I/O side is to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this order and give its answer back through `order_answered`.
    Order(Order),
    /// Ask the endpoint for its report and give it back through `report`.
    RequestReport { instance: Arc<str>, address: SocketAddr },
}

/// How an endpoint answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OrderAnswer {
    /// 202: it is being done.
    Accepted,
    /// 200: it holds already.
    AlreadyDone,
    /// 409: another order is under way, or the expected revision is wrong.
    Conflict,
    /// 412: an order with a higher fencing token came before.
    Fenced,
    /// 421: another incarnation has the address.
    WrongInstance,
    /// 400: there is no such order.
    Invalid,
    /// 503, or another answer by which the order was not taken.
    Unavailable,
    /// No answer, or one that says nothing: the order may have been taken.
    Unknown,
}

impl OrderAnswer {
    /// Reads the status of an answer.
    pub fn from_status(status: u16) -> OrderAnswer {
        match status {
            202 => OrderAnswer::Accepted,
            200 => OrderAnswer::AlreadyDone,
            409 => OrderAnswer::Conflict,
            412 => OrderAnswer::Fenced,
            421 => OrderAnswer::WrongInstance,
            400 => OrderAnswer::Invalid,
            429 | 503 => OrderAnswer::Unavailable,
            _ => OrderAnswer::Unknown,
        }
    }
}

/// What an endpoint tells of itself when it is asked, as it stood some hundred ms earlier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointReport {
    #[serde(default)]
    pub phase: Option<String>,
    #[serde(default)]
    pub models: Vec<ResidentModel>,
    /// Whether an order is under way.
    #[serde(default)]
    pub busy: bool,
    /// Orders taken since the endpoint started.
    #[serde(default)]
    pub sequence: u64,
    #[serde(default)]
    pub queued: u32,
    #[serde(default)]
    pub active: u32,
    #[serde(default)]
    pub kv_used: f64,
    #[serde(default)]
    pub kv_capacity: f64,
    #[serde(default)]
    pub handles: u32,
}

/// A load that an endpoint has taken, or may have taken, and has not shown yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingLoad {
    pub instance: Arc<str>,
    pub item: Item,
    /// When the load should be over.
    pub expected: Duration,
}
