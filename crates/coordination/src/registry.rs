//! Registry of endpoints: shards by hash of the service name.
