//! The route table: maps a host and a path to the route with the longest matching prefix.
//!
//! A look-up costs one hash of the host and one of each part of the path that ends with a slash and is as long as
//! some prefix of that host, however many routes there are.

use crate::configuration::{Backend, Configuration, Route};
use std::collections::HashMap;
use std::sync::Arc;

/// Longest host that can be looked up if it has upper-case letters, bytes; it is converted on the stack.
const MAX_STACK_HOST_BYTES: usize = 255;

/// The routes of one configuration, ready for look-ups.
///
/// ```
/// use lanegate_config::configuration::Document;
/// use lanegate_config::routes::RouteTable;
///
/// let document = Document::parse(
///     r#"{"Version": 1, "Backends": [{"Name": "b"}], "Routes": [
///         {"Name": "outer", "Hostname": "a.example", "PathPrefix": "/x/", "TimeoutMs": 500, "Backend": "b"},
///         {"Name": "inner", "Hostname": "a.example", "PathPrefix": "/x/y/", "TimeoutMs": 500, "Backend": "b"}]}"#,
/// )?;
/// let table = RouteTable::new(document.configuration().clone());
/// assert_eq!(table.lookup("A.example", "/x/y/z").unwrap().name, "inner");
/// assert_eq!(table.lookup("a.example", "/x/y").unwrap().name, "outer");
/// assert!(table.lookup("b.example", "/x/").is_none());
/// # Ok::<(), lanegate_config::findings::Findings>(())
/// ```
#[derive(Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<Box<str>, Host>,
    backends: HashMap<Box<str>, usize>,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct Host {
    /// Index of the route of each prefix.
    prefixes: HashMap<Box<str>, usize>,
    /// Lengths of the prefixes, the longest first.
    lengths: Vec<usize>,
}

impl Host {
    fn insert(&mut self, prefix: &str, index: usize) {
        self.prefixes.insert(prefix.into(), index);
        if let Err(position) = self.lengths.binary_search_by(|length| prefix.len().cmp(length)) {
            self.lengths.insert(position, prefix.len());
        }
    }

    fn lookup(&self, path: &str) -> Option<usize> {
        let lengths = self.lengths.iter();
        let mut candidates = lengths.filter_map(|length| path.get(..*length));
        candidates.find_map(|prefix| self.prefixes.get(prefix).copied())
    }
}

impl RouteTable {
    /// Builds the table; of two routes with the same host and prefix, the last one wins.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut hosts: HashMap<Box<str>, Host> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.hostname.to_ascii_lowercase();
            hosts.entry(host.into()).or_default().insert(&route.path_prefix, index);
        }
        let named = configuration.backends.iter().enumerate();
        let backends = named.map(|(index, backend)| (backend.name.as_str().into(), index)).collect();
        RouteTable { configuration, hosts, backends }
    }

    /// The route of `host` (without port, in any case) whose prefix begins `path` and is the longest.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        let index = self.host(host)?.lookup(path)?;
        self.configuration.routes.get(index)
    }

    fn host(&self, host: &str) -> Option<&Host> {
        if !host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            return self.hosts.get(host);
        }
        let mut lowercase = [0; MAX_STACK_HOST_BYTES];
        let lowercase = lowercase.get_mut(..host.len())?;
        lowercase.copy_from_slice(host.as_bytes());
        lowercase.make_ascii_lowercase();
        self.hosts.get(std::str::from_utf8(lowercase).ok()?)
    }

    /// The service of that name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.configuration.backends.get(*self.backends.get(name)?)
    }

    /// The configuration from which the table was built.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }
}
