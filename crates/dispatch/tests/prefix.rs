//! Prompt chains, the prefix cache, and the stable hashes that all routers share.

mod support;

use lanegate_dispatch::interface::Generation;
use lanegate_dispatch::prefix::{PrefixCache, PromptChain};
use lanegate_dispatch::rendezvous::{rank, stable_hash};
use support::generation;

fn generation_of(model: &str, parts: &[(u64, u32)]) -> Generation {
    generation(1, 0, model, parts).generation.expect("a generation")
}

fn chain(model: &str, parts: &[(u64, u32)]) -> PromptChain {
    PromptChain::of(&generation_of(model, parts))
}

#[test]
fn only_complete_prefixes_are_cached() {
    let mut cache = PrefixCache::default();
    cache.insert(&chain("m", &[(1, 800), (2, 400), (3, 200)]), 10_000);
    assert_eq!(cache.cached_tokens(&chain("m", &[(1, 800), (2, 400), (9, 200)])), 1_200);
    assert_eq!(cache.cached_tokens(&chain("m", &[(2, 400), (3, 200)])), 0);
    assert_eq!(cache.cached_tokens(&chain("other", &[(1, 800)])), 0);
    let adapted = Generation { adapter: Some("a1".into()), ..generation_of("m", &[(1, 800)]) };
    assert_eq!(cache.cached_tokens(&PromptChain::of(&adapted)), 0);
}

#[test]
fn eviction_is_lru_and_ends_go_before_beginnings() {
    let mut cache = PrefixCache::default();
    cache.insert(&chain("m", &[(1, 800), (2, 100)]), 1_000);
    cache.insert(&chain("m", &[(1, 800), (3, 100)]), 1_000);
    assert_eq!(cache.cached_tokens(&chain("m", &[(1, 800), (3, 100)])), 900);
    cache.insert(&chain("m", &[(1, 800), (4, 150)]), 1_000);
    assert_eq!(cache.cached_tokens(&chain("m", &[(1, 800), (2, 100)])), 800);
    cache.insert(&chain("m", &[(5, 700)]), 1_000);
    assert_eq!(cache.cached_tokens(&chain("m", &[(1, 800)])), 0);
    assert_eq!(cache.len(), 1);
}

#[test]
fn the_affinity_of_a_chain_is_that_of_its_shared_parts() {
    let one = chain("m", &[(1, 800), (2, 400), (3, 200)]);
    let other = chain("m", &[(1, 800), (2, 400), (4, 900)]);
    assert_eq!(one.affinity(), other.affinity());
    assert_eq!(one.shared_tokens(), 1_200);
    assert_ne!(one.affinity(), chain("m2", &[(1, 800), (2, 400), (3, 200)]).affinity());
    assert_eq!(chain("m", &[]).affinity(), None);
    assert!(chain("m", &[(7, 10)]).affinity().is_some());
}

#[test]
fn a_prompt_larger_than_its_parts_counts_completely() {
    let larger = Generation { prompt_tokens: 5_000, ..generation_of("m", &[(1, 800)]) };
    assert_eq!(PromptChain::of(&larger).prompt_tokens, 5_000);
}

/// Routers of different versions must agree on the hashes, so these values must never change.
#[test]
fn the_hash_is_the_same_everywhere() {
    assert_eq!(stable_hash("i-7f3a91c2"), HASH_OF_AN_ID);
    assert_eq!(stable_hash(""), HASH_OF_NOTHING);
    assert_eq!(rank(1, 2), RANK_OF_ONE_AND_TWO);
}

const HASH_OF_NOTHING: u64 = 17665956581633026203;
const HASH_OF_AN_ID: u64 = 2976804946442923782;
const RANK_OF_ONE_AND_TWO: u64 = 2185194620014831856;

#[test]
fn ownership_is_even_and_moves_minimally() {
    let nodes: Vec<u64> = (0..12).map(|node| stable_hash(&format!("node-{node}"))).collect();
    let owner =
        |key: u64, nodes: &[u64]| nodes.iter().copied().max_by_key(|&node| rank(key, node)).expect("nodes");
    let keys: Vec<u64> = (0..6_000).map(|key| stable_hash(&format!("key-{key}"))).collect();
    for &node in &nodes {
        let owned = keys.iter().filter(|&&key| owner(key, &nodes) == node).count();
        assert!((400..600).contains(&owned), "{owned} of 6000 keys at one of 12 nodes");
    }
    let fewer = &nodes[1..];
    for &key in &keys {
        let before = owner(key, &nodes);
        assert!(before == nodes[0] || owner(key, fewer) == before);
    }
}
