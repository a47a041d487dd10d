//! How long a commit blocks the courier's event loop, with many live messages and old segments being dropped all the
//! time: in `power` the writer thread does the rest. Prints the median, the 99th percentile and the longest of the calls.

mod common;
use common::*;
use lanegate_courier::node::journal::{Journal, JournalOptions};
use lanegate_courier::store::Durability;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

const LIVE: u64 = 100_000_000;
const BODY: usize = 4000;
const COMMITS: usize = 20_000;
/// Messages that arrive between two commits; as many end.
const BATCH: u64 = 8;

fn main() {
    println!("{LIVE} bytes live, {COMMITS} commits of {BATCH} messages in and out");
    println!("{:>8} {:>9} {:>9} {:>9} {:>9}", "mode", "p50 ms", "p99 ms", "p99.9 ms", "max ms");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    for (name, durability) in [("process", Durability::Process), ("power", Durability::Power)] {
        let place = Place::new(name);
        let journal_options = JournalOptions { room: LIVE * 3, durability, refuse_damage: false };
        let (mut journal, _) = Journal::open(&place.0, journal_options, 1).expect("opens");
        let (mut next, mut live, mut took) = (0, VecDeque::new(), Vec::new());
        let commit = |journal: &mut Journal| {
            let from = Instant::now();
            let done = journal.commit();
            let stood = from.elapsed();
            done.unwrap_or_else(|| runtime.block_on(journal.done())).expect("written");
            stood
        };
        let mut accept = |journal: &mut Journal, live: &mut VecDeque<u64>| {
            next += 1;
            journal.accept(next, Rc::new(letter(next, BODY)));
            live.push_back(next);
        };
        while (live.len() * BODY) < LIVE as usize {
            (0..256).for_each(|_| accept(&mut journal, &mut live));
            commit(&mut journal);
        }
        for n in 0..COMMITS {
            for _ in 0..BATCH {
                accept(&mut journal, &mut live);
                // Every second message stays, so that dropped segments hold live messages.
                let out = if n % 2 == 0 { live.pop_front() } else { live.pop_back() };
                journal.end(out.expect("one lives"));
            }
            took.push(commit(&mut journal).as_secs_f64() * 1e3);
        }
        took.sort_by(f64::total_cmp);
        let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        println!("{name:>8} {:9.3} {:9.3} {:9.3} {:9.3}", at(0.5), at(0.99), at(0.999), at(1.0));
    }
}
