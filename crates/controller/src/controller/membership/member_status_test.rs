//! What controllers say of themselves, and for how long it holds.

use crate::controller::membership::member_status::Standings;
use crate::message::Standing;
use std::net::SocketAddr;

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

#[test]
fn a_replica_votes_for_the_shards_that_its_controller_names() {
    let standing = Standing::new(1, [0, 4], false);
    let votes: Vec<bool> = (0..6).map(|shard| standing.votes(shard)).collect();
    assert_eq!(votes, [true, false, false, false, true, false]);
    assert!(!standing.votes(200));
}

#[test]
fn the_newest_word_counts_and_is_news_once() {
    let mut standings = Standings::default();
    assert!(!standings.votes(node(1), 0));
    assert!(standings.note(node(1), Standing::new(7, [0], false)));
    assert!(!standings.note(node(1), Standing::new(7, [0], false)));
    assert!(standings.can_join(node(1), 0));
    assert!(standings.note(node(1), Standing::new(7, [0], true)));
    assert!(standings.is_leaving(node(1)) && !standings.can_join(node(1), 0));
}

#[test]
fn a_restart_makes_the_word_of_the_earlier_life_void() {
    let mut standings = Standings::default();
    standings.note(node(1), Standing::new(7, [0], true));
    standings.restarted(node(1), 7);
    assert!(standings.is_leaving(node(1)), "the same life");
    standings.restarted(node(1), 8);
    assert!(!standings.is_leaving(node(1)) && !standings.votes(node(1), 0));
}

#[test]
fn the_word_of_the_new_life_outlasts_the_news_of_its_start() {
    let mut standings = Standings::default();
    standings.note(node(1), Standing::new(7, [0], true));
    standings.note(node(1), Standing::new(8, [0], false));
    standings.restarted(node(1), 8);
    assert!(standings.can_join(node(1), 0));
}
