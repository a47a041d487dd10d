//! The input and output types of the placer: orders, answers and reports.

use lanegate_config::instance::ResidentModel;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of an order, unique within one placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// A model, or one adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Item {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter; none for the model itself.
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

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Load a model or an adapter.
    Load,
    /// Evict a model or an adapter.
    Evict,
}

/// An order to one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number of the order.
    pub id: OrderId,
    /// Id of the incarnation.
    pub instance: Arc<str>,
    /// Address to which the order is sent.
    pub address: SocketAddr,
    /// What the order does.
    pub operation: Operation,
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter; none if the order is about the model itself.
    pub adapter: Option<Arc<str>>,
    /// Number of orders that the endpoint must have accepted so far (its revision). The endpoint refuses the order at
    /// any other, so it is executed only on the contents it was planned for.
    pub if_revision: u64,
}

impl Order {
    /// The item to load or evict.
    pub fn item(&self) -> Item {
        Item { model: self.model.clone(), adapter: self.adapter.clone() }
    }
}

/// An action that the caller has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this order, and pass its answer to `order_answered`.
    Order(Order),
    /// Request a report from the endpoint, and pass it to `report`.
    RequestReport {
        /// Id of the incarnation.
        instance: Arc<str>,
        /// Address to which the request is sent.
        address: SocketAddr,
    },
}

/// The answer of an endpoint to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OrderAnswer {
    /// 202: being executed.
    Accepted,
    /// 200: already in effect.
    AlreadyDone,
    /// 409: another order is being executed, or the revision differs.
    Conflict,
    /// 412: an order with a higher fencing token came before.
    Fenced,
    /// 421: another incarnation has the address.
    WrongInstance,
    /// 400: invalid order.
    Invalid,
    /// 503, or another answer that means that the order was not accepted.
    Unavailable,
    /// No answer, or one that leaves it open whether the order was accepted.
    Unknown,
}

impl OrderAnswer {
    /// The answer with that HTTP status.
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

/// The state of an endpoint, which it reports on request. The report is some hundred ms old when it arrives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointReport {
    /// What the engine is doing; absent for endpoints without engines.
    #[serde(default)]
    pub phase: Option<String>,
    /// Resident models with their adapters.
    #[serde(default)]
    pub models: Vec<ResidentModel>,
    /// Whether an order is being executed.
    #[serde(default)]
    pub busy: bool,
    /// Orders accepted since the endpoint started (its revision).
    #[serde(default)]
    pub sequence: u64,
    /// Requests that wait in the engine.
    #[serde(default)]
    pub queued: u32,
    /// Requests that run.
    #[serde(default)]
    pub active: u32,
    /// Tokens in the KV cache.
    #[serde(default)]
    pub kv_used: f64,
    /// Size of the KV cache, tokens.
    #[serde(default)]
    pub kv_capacity: f64,
    /// `Handles` of the engine; the placer does not use it.
    #[serde(default)]
    pub handles: u32,
}

/// A load that an endpoint has or may have accepted, and that its registration does not list yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingLoad {
    /// Id of the incarnation.
    pub instance: Arc<str>,
    /// The model or adapter that is loaded.
    pub item: Item,
    /// When the load is expected to be done.
    pub expected: Duration,
}
