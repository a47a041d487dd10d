//! What the system serves in a run: services, routes, models, and the configuration that names them.

use serde_json::{Value, json};
use std::fmt;
use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Room of an engine for weights and adapters, MB.
pub const WEIGHTS_MB: f64 = 220_000.0;
/// Adapters that an engine holds at most.
pub const MAX_ADAPTERS: u32 = 3;
/// Requests that an engine runs at once.
pub const ENGINE_CAPACITY: u32 = 32;
/// Requests that an endpoint without an engine runs at once.
pub const PLAIN_CAPACITY: u32 = 12;
/// Time of a load from the weight store.
pub const LOAD_TIME: Duration = Duration::from_millis(600);
/// Time in which an adapter arrives.
pub const ADAPTER_TIME: Duration = Duration::from_millis(40);
/// Loads a second that the weight store allows.
const LOADS_PER_S: f64 = 2.0;
/// Tokens of the memory of an engine.
const KV_CACHE_TOKENS: f64 = 200_000.0;
/// Tokens in an event of a stream.
pub const TOKENS_PER_EVENT: u32 = 5;
/// Time between two events of any stream: a batch has one pace.
pub const EVENT_PAUSE: Duration = Duration::from_millis(80);
/// Longest time in which a client's idle connection is kept, ms.
pub const IDLE_TIMEOUT_MS: u64 = 15_000;

/// A model that engines may hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelFacts {
    pub name: &'static str,
    pub weights_mb: f64,
    pub adapters: u32,
    pub adapter_size_mb: f64,
}

/// All models; an engine has room for three of them, or four small ones, and all together for each of them once.
pub const MODELS: [ModelFacts; 11] = [
    model("amber", 60_000.0, 3),
    model("birch", 72_000.0, 0),
    model("cedar", 45_000.0, 3),
    model("delta", 72_000.0, 2),
    model("ember", 60_000.0, 0),
    model("fjord", 45_000.0, 4),
    model("grove", 72_000.0, 0),
    model("hazel", 49_900.0, 2),
    model("inlet", 72_000.0, 0),
    model("juniper", 60_000.0, 2),
    model("kelp", 49_900.0, 0),
];

const fn model(name: &'static str, weights_mb: f64, adapters: u32) -> ModelFacts {
    ModelFacts { name, weights_mb, adapters, adapter_size_mb: 50.0 }
}

/// The model of this name.
pub fn find_model(name: &str) -> Option<&'static ModelFacts> {
    MODELS.iter().find(|model| model.name == name)
}

/// A service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Service {
    /// Plain answers.
    Primary,
    /// Plain answers; the movable route goes here at times.
    Secondary,
    /// Engines.
    Engines,
}

impl Service {
    /// Name in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Service::Primary => "primary",
            Service::Secondary => "secondary",
            Service::Engines => "engines",
        }
    }

    /// Endpoints of the service, by number.
    pub fn of_endpoint(number: u8) -> Service {
        match number {
            1..=4 => Service::Engines,
            5..=7 => Service::Primary,
            _ => Service::Secondary,
        }
    }

    /// Requests that one endpoint runs at once.
    pub fn capacity(self) -> u32 {
        if self == Service::Engines { ENGINE_CAPACITY } else { PLAIN_CAPACITY }
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Endpoints in a run.
pub const ENDPOINTS: u8 = 9;

/// A route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteKind {
    /// May run again; the operator moves it between two services.
    Lookup,
    /// Runs at most once.
    Booking,
    /// A short stream that may be taken up elsewhere.
    Chat,
    /// A stream of up to nine seconds that runs at most once.
    Draft,
}

impl RouteKind {
    /// All of them.
    pub const ALL: [RouteKind; 4] =
        [RouteKind::Lookup, RouteKind::Booking, RouteKind::Chat, RouteKind::Draft];

    /// Name, and first part of its paths.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Lookup => "lookup",
            RouteKind::Booking => "booking",
            RouteKind::Chat => "chat",
            RouteKind::Draft => "draft",
        }
    }

    /// The route of a request with this path.
    pub fn of_path(path: &str) -> Option<RouteKind> {
        let first = path.strip_prefix('/')?.split('/').next()?;
        RouteKind::ALL.into_iter().find(|route| route.name() == first)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Chat | RouteKind::Draft)
    }

    /// Whether a request may run more than once.
    pub fn may_run_again(self) -> bool {
        matches!(self, RouteKind::Lookup | RouteKind::Chat)
    }

    /// Time that clients leave.
    pub fn deadline(self) -> Duration {
        Duration::from_millis(match self {
            RouteKind::Lookup | RouteKind::Booking => 3_000,
            RouteKind::Chat => 8_000,
            RouteKind::Draft => 15_000,
        })
    }

    /// Time within which an answer, or its first event, is wanted.
    pub fn target(self) -> Duration {
        Duration::from_millis(if self.is_stream() { 1_000 } else { 500 })
    }

    fn entry(self, movable: Service) -> Value {
        let kind = match self {
            RouteKind::Lookup => "idempotent",
            RouteKind::Booking => "non_idempotent",
            RouteKind::Chat | RouteKind::Draft => "streaming",
        };
        let service = match self {
            RouteKind::Lookup => movable,
            RouteKind::Booking => Service::Primary,
            RouteKind::Chat | RouteKind::Draft => Service::Engines,
        };
        json!({
            "Name": self.name(), "Hostname": HOST, "PathPrefix": format!("/{}/", self.name()),
            "RouteType": kind, "TimeoutMs": self.deadline().as_millis() as u64,
            "TargetMs": self.target().as_millis() as u64, "Priority": u8::from(self == RouteKind::Draft),
            "Backend": service.name(), "MaxAttempts": 3, "Sticky": self.is_stream(),
            "Resumable": self == RouteKind::Chat, "gap_aim_ms": if self.is_stream() { Some(400) } else { None },
        })
    }
}

/// Name of the route by which a configuration tells the change that made it.
pub const MARK: &str = "mark";

/// The route that tells the change; nobody asks for it.
pub fn mark_route(change: u64) -> Value {
    json!({
        "Name": MARK, "Hostname": HOST, "PathPrefix": format!("/{MARK}-{change}/"), "RouteType": "idempotent",
        "TimeoutMs": 1_000, "TargetMs": 500, "Backend": Service::Primary.name(), "MaxAttempts": 1,
    })
}

/// The movable route, to `service`.
pub fn movable_route(service: Service) -> Value {
    RouteKind::Lookup.entry(service)
}

/// A whole configuration.
pub fn configuration(version: u64, change: u64, movable: Service) -> Value {
    let mut routes: Vec<Value> = RouteKind::ALL.into_iter().map(|route| route.entry(movable)).collect();
    routes.push(mark_route(change));
    json!({
        "Version": version,
        "Routes": routes,
        "Backends": [plain_service(Service::Primary), plain_service(Service::Secondary), engine_service()],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_048_576, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": IDLE_TIMEOUT_MS,
        },
    })
}

fn plain_service(service: Service) -> Value {
    json!({"Name": service.name(), "HealthPath": "/healthz", "MaxConns": 200, "Protocol": "h1", "Tls": false})
}

fn engine_service() -> Value {
    let model = |model: &ModelFacts| {
        json!({
            "Name": model.name, "WeightsMb": model.weights_mb, "LoadTimeS": LOAD_TIME.as_secs_f64(),
            "Adapters": model.adapters, "AdapterSizeMb": model.adapter_size_mb,
        })
    };
    let models: Vec<Value> = MODELS.iter().map(model).collect();
    let mut service = plain_service(Service::Engines);
    service["Runtime"] = json!({
        "Capacity": ENGINE_CAPACITY, "KvCacheTokens": KV_CACHE_TOKENS, "KvTokenBytes": 163_840,
        "LinkMbps": 1_100_000.0, "stride": TOKENS_PER_EVENT, "Models": models, "WeightsMb": WEIGHTS_MB,
        "MaxAdapters": MAX_ADAPTERS, "LoadsPerS": LOADS_PER_S,
    });
    service
}
