//! Shared by the benchmarks: a temporary folder per run, and a message with its attempt.
#![allow(dead_code)]

use bytes::Bytes;
use lanegate_courier::node::journal::{self, Attempt, Message};
use std::path::PathBuf;
use std::time::Duration;

/// A temporary folder for one run, removed on drop.
pub struct Place(pub PathBuf);

impl Place {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("bench-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Place(path)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn letter(n: u64, body: usize) -> Message {
    Message {
        id: format!("9b1f03aa5c7e{n:08x}"),
        class: "status".to_owned(),
        destination: n % 40,
        until: journal::unix() + Duration::from_secs(1000),
        body: Bytes::from(vec![b'x'; body]),
        ..Message::default()
    }
}

pub fn attempt(host: &str) -> Attempt {
    Attempt { host: host.to_owned(), zone: "a".to_owned(), sent: journal::unix(), may_have_run: true }
}
