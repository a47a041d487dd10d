//! One byte of an answer's head or of the line with the size of a chunk is damaged: its client gets the body of the endpoint,
//! or no complete success.

mod common;

use common::{Endpoint, Router, body_of, is_complete_success, run_test};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::cell::RefCell;

/// Default number of cases.
const CASES: u32 = 700;
/// Default seed.
const SEED: u64 = 71;
const BODY: &str = "abcdef";
const FIELDS: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nServer-Signature: s1\r\nX: y\r\n";
/// Answers, each with the length of the part that is damaged.
const ANSWERS: [(&str, usize); 3] = [
    ("Content-Length: 6\r\n\r\nabcdef", "Content-Length: 6\r\n\r\n".len()),
    (
        "Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n6\r\n".len(),
    ),
    (
        "Content-Length: 6\r\nKeep-Alive: timeout=5\r\n\r\nabcdef",
        "Content-Length: 6\r\nKeep-Alive: timeout=5\r\n\r\n".len(),
    ),
];
/// Bytes that mean something in a head, and some that must not stand there.
const BYTES: &[u8] = b"\0\t\n\r 0179:;,aX-\x7f\xe9";

/// What happens to one byte.
#[derive(Debug, Clone, Copy)]
enum Damage {
    Lost,
    Flipped(u8),
    Replaced(u8),
    Preceded(u8),
}

fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        Just(Damage::Lost),
        (0_u8..8).prop_map(Damage::Flipped),
        proptest::sample::select(BYTES).prop_map(Damage::Replaced),
        proptest::sample::select(BYTES).prop_map(Damage::Preceded),
    ]
}

fn damaged(mut bytes: Vec<u8>, place: usize, damage: Damage) -> Vec<u8> {
    match damage {
        Damage::Lost => drop(bytes.remove(place)),
        Damage::Flipped(bit) => bytes[place] ^= 1 << bit,
        Damage::Replaced(byte) => bytes[place] = byte,
        Damage::Preceded(byte) => bytes.insert(place, byte),
    }
    bytes
}

/// Everything that a client receives if the endpoint answers with these bytes and closes the connection.
async fn received(bytes: &[u8]) -> String {
    let endpoint = Endpoint::start("i-1").await;
    let router = Router::serving(&[&endpoint]).await;
    let mut client = router.client().await;
    let request = "GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 2\r\nConnection: close\r\n\r\n";
    client.write(request).await;
    let (mut upstream, _) = endpoint.request().await;
    upstream.write_if_open(bytes).await;
    upstream.shut_down().await;
    client.rest().await
}

fn config() -> Config {
    let default = Config::default();
    let rng_seed = match default.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        seed => seed,
    };
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { default.cases } else { CASES };
    Config { cases, rng_seed, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_damaged_byte_brings_no_other_body(
        (answer, part) in proptest::sample::select(&ANSWERS[..]),
        place in any::<proptest::sample::Index>(),
        damage in damage(),
    ) {
        let place = place.index(FIELDS.len() + part);
        let bytes = damaged(format!("{FIELDS}{answer}").into_bytes(), place, damage);
        let text = RefCell::new(String::new());
        run_test(async { *text.borrow_mut() = received(&bytes).await });
        let text = text.into_inner();
        let is_allowed = !is_complete_success(&text) || body_of(&text) == BODY;
        prop_assert!(is_allowed, "{:?} brings {text:?}", String::from_utf8_lossy(&bytes));
    }
}
