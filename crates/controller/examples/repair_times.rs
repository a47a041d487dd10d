//! Measures, in simulated time, how long it takes from a loss until the groups of all five shards are whole
//! again: `repair_times SEEDS`. Prints the shortest, the median, the ninth decile and the longest, in ms.

use lanegate_controller::simulation::{Scenario, World};

/// Times are found to this exactness, ms.
const EXACTNESS: u64 = 10;
/// Longest time that is looked for, ms.
const LONGEST: u64 = 8_000;

/// A loss, and what stands before it.
struct Case {
    name: &'static str,
    founders: usize,
    spares: usize,
    /// Steps until the loss, the last one included.
    steps: &'static str,
    /// Losses that whole groups bear.
    margin: usize,
    /// Members that must be gone.
    retired: &'static [char],
}

const CASES: [Case; 6] = [
    Case {
        name: "one lost, a spare is live",
        founders: 3,
        spares: 1,
        steps: "start d\nwait 1000\nretire c",
        margin: 1,
        retired: &['c'],
    },
    Case {
        name: "one lost, a new machine 100 ms later",
        founders: 3,
        spares: 1,
        steps: "retire c\nwait 100\nstart d",
        margin: 1,
        retired: &['c'],
    },
    Case {
        name: "one told to end, a spare is live",
        founders: 3,
        spares: 1,
        steps: "start d\nwait 1000\nstop c",
        margin: 1,
        retired: &['c'],
    },
    Case {
        name: "two told to end, two spares are live",
        founders: 3,
        spares: 2,
        steps: "start d\nstart e\nwait 1000\nstop b\nstop c",
        margin: 1,
        retired: &['b', 'c'],
    },
    Case {
        name: "two of five lost, two spares are live",
        founders: 5,
        spares: 2,
        steps: "start f\nstart g\nwait 1000\nretire a\nretire b",
        margin: 2,
        retired: &['a', 'b'],
    },
    Case {
        name: "one loses its disk and is back at once",
        founders: 3,
        spares: 0,
        steps: "wipe c\nstart c",
        margin: 1,
        retired: &[],
    },
];

/// Longest writes of the disks that are played, ms.
const WRITES: [u64; 2] = [1, 10];

fn main() {
    let seeds = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(20);
    for case in &CASES {
        for write in WRITES {
            let mut times: Vec<u64> = (0..seeds).filter_map(|seed| time_of(case, write, seed)).collect();
            times.sort_unstable();
            report(case, write, seeds, &times);
        }
    }
}

fn report(case: &Case, write: u64, seeds: u64, times: &[u64]) {
    let at = |share: f64| times.get(((times.len() as f64 - 1.0) * share).round() as usize);
    let figures = [at(0.0), at(0.5), at(0.9), at(1.0)].map(|time| time.copied().unwrap_or(LONGEST));
    let whole = times.len();
    println!("{}, writes up to {write} ms: {figures:?} ms, whole in {whole} of {seeds}", case.name);
}

/// The time from the loss to whole groups; `None` if it is too long.
fn time_of(case: &Case, write: u64, seed: u64) -> Option<u64> {
    if !is_complete(case, write, seed, LONGEST) {
        return None;
    }
    let (mut too_short, mut enough) = (0, LONGEST);
    while enough - too_short > EXACTNESS {
        let middle = (too_short + enough) / 2;
        if is_complete(case, write, seed, middle) {
            enough = middle;
        } else {
            too_short = middle;
        }
    }
    Some(enough)
}

/// Whether all groups are whole `time` ms after the loss.
fn is_complete(case: &Case, write: u64, seed: u64, time: u64) -> bool {
    World::play(&scenario(case, write, seed, time), None).is_ok()
}

fn scenario(case: &Case, write: u64, seed: u64, time: u64) -> Scenario {
    let all = case.founders + case.spares;
    let slow: String = (0..all).map(|index| format!("slow {} {write}\n", name(index))).collect();
    let retired: String = case.retired.iter().map(|member| format!("expect {member} nowhere\n")).collect();
    let text = format!(
        "founders {} spares {} late routers 1 endpoints 2 seed {seed}\n\
         {slow}wait 600\nput via a\nwait {}\n{}\nwait {time}\n{retired}expect margin {}\n",
        case.founders,
        case.spares,
        3_000 + 37 * (seed % 16),
        case.steps,
        case.margin,
    );
    text.parse().unwrap_or_else(|error| panic!("{error}:\n{text}"))
}

fn name(index: usize) -> char {
    char::from(b'a' + index as u8)
}
