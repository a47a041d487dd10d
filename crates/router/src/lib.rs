//! The data plane: accepts clients, picks an endpoint for each request and streams the answer back.
