//! Drawing the words of a fault's variant.

use crate::catalogue::{Kind, Slot};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Which machine is struck; none of them leaves it to the bench.
const MACHINE_CHOICES: Slot = &["", "", "turn", "leader", "leader", "reader", "seed"];

/// What else happens while the machine is away or returns.
const MACHINE_EXTRAS: [&str; 4] = ["meet", "race", "hard", "drain"];

/// How often each of the extras is added.
const EXTRA_CHANCE: f64 = 0.25;

/// Draws one variant of the kind.
pub(crate) fn draw_variant(kind: &Kind, random: &mut SmallRng) -> Vec<&'static str> {
    let mut words = Vec::new();
    for slot in kind.slots {
        push_alternative(&mut words, slot, random);
    }
    if kind.chooses_machine {
        push_alternative(&mut words, MACHINE_CHOICES, random);
        words.extend(MACHINE_EXTRAS.iter().filter(|_| random.random_bool(EXTRA_CHANCE)));
    }
    words
}

fn push_alternative(words: &mut Vec<&'static str>, slot: Slot, random: &mut SmallRng) {
    let alternative = slot.choose(random).copied().unwrap_or_default();
    words.extend(alternative.split_whitespace());
}
