//! The route table: host and longest path prefix to a route.
