//! Power losses at every disk call, with every subset of the unsynced changes on disk or not.

use super::tests::{State, attempt, state, test_message};
use super::*;
use crate::store::safeguard::{Safeguard, with_disabled};
use crate::store::simulated::{Fault, Files, IgnoredCalls, Simulated};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::thread;

const ROOM: u64 = 12_000;

/// Small segments, so that some are sealed and dropped during the test.
fn open(disk: &Simulated, seed: u64) -> io::Result<(Journal<Simulated>, Recovery)> {
    let plan =
        Plan { size: 1536, seed, quarantine_room: 4096, durability: Durability::Power, refuse_damage: false };
    Journal::open_on(disk.clone(), plan, ROOM)
}

/// States that may be found at this moment: the one last committed, and those after each record since.
type Allowed = Rc<RefCell<Vec<State>>>;

/// A random step in a message's life; it writes one record or none.
fn step(journal: &mut Journal<Simulated>, rng: &mut SmallRng, next: &mut u64) {
    let live: Vec<u64> = journal.live().map(|(n, _)| n).collect();
    let n = if live.is_empty() { 0 } else { live[rng.random_range(0..live.len())] };
    let tried = journal.get(n).map_or(0, |m| m.attempts.len()) as u32;
    match rng.random_range(0..10) {
        0..3 if live.len() < 8 => {
            *next += 1;
            journal.accept(*next, test_message(&format!("m{next}"), rng.random_range(0..700)));
        }
        3..6 if tried < 4 => journal.attempt(n, attempt("s-1")),
        6 if tried > 0 => journal.never_ran(n, tried - 1),
        7 => journal.record_verdict(n, Verdict::Bounced { wait: None }),
        8.. => journal.end(n),
        _ => {}
    }
}

/// Plays `steps` random steps, with a commit after one or several of them.
fn play(journal: &mut Journal<Simulated>, seed: u64, steps: usize, allowed: &Allowed) {
    let (mut rng, mut next) = (SmallRng::seed_from_u64(seed), 0);
    for _ in 0..steps {
        step(journal, &mut rng, &mut next);
        allowed.borrow_mut().push(state(journal));
        if rng.random_bool(0.6) && journal.flush().is_ok() {
            *allowed.borrow_mut() = vec![state(journal)];
        }
    }
}

/// A short form of a state: message numbers, which attempts may have run (+) or did not (-), and whether it
/// is decided (!).
fn brief(state: &State) -> String {
    let one = |(n, m): &(u64, LiveMessage)| {
        let tried: String = m.attempts.iter().map(|a| if a.may_have_run { '+' } else { '-' }).collect();
        format!("{n}{tried}{}", if m.verdict.is_some() { "!" } else { "" })
    };
    state.iter().map(one).collect::<Vec<_>>().join(" ")
}

fn briefs(states: &[State]) -> String {
    states.iter().map(|s| format!("[{}]", brief(s))).collect::<Vec<_>>().join(" ")
}

/// The result of a run: how many states were recovered, and the first wrong one.
#[derive(Default)]
struct Shown {
    states: u64,
    wrong: Option<String>,
}

impl Shown {
    fn expect(&mut self, right: bool, told: impl FnOnce() -> String) {
        if !right && self.wrong.is_none() {
            self.wrong = Some(told());
        }
    }

    /// Starts on a disk. The state found must be allowed, the next start must find the same, and so must a
    /// start after a power loss at any call since.
    fn recover(&mut self, disk: &Simulated, allowed: &[State], deep: bool) {
        self.states += 1;
        let within = Rc::new(RefCell::new(Vec::new()));
        if deep {
            let (seen, of, seed) = (within.clone(), disk.clone(), self.states);
            disk.watch(move || seen.borrow_mut().extend(of.after_power_loss(seed)));
        }
        let (found, recovery) = match open(disk, 1000 + self.states) {
            Ok((journal, recovery)) => (state(&journal), recovery),
            Err(e) => return self.expect(false, || format!("cannot be opened: {e}")),
        };
        disk.unwatch();
        self.expect(allowed.contains(&found), || {
            format!("found [{}], allowed {}", brief(&found), briefs(allowed))
        });
        let harmed = !recovery.damage.is_empty() || recovery.assumed_run > 0;
        self.expect(!harmed, || format!("a loss of power is no damage: {recovery:?}"));
        let again = open(disk, 2000 + self.states).map(|(journal, _)| state(&journal));
        self.expect(again.as_ref().is_ok_and(|s| *s == found), || {
            format!("again: {:?}, first [{}]", again.as_ref().map(brief), brief(&found))
        });
        if deep {
            // During the start any state allowed before may be found; after it only the state it found, as
            // others may have acted on that.
            for left in within.take() {
                self.find(left, allowed);
            }
            for left in disk.after_power_loss(self.states) {
                self.find(left, std::slice::from_ref(&found));
            }
        }
    }

    fn find(&mut self, left: Files, allowed: &[State]) {
        self.states += 1;
        let found = open(&Simulated::new(left, Fault::None), 3000 + self.states).map(|(j, _)| state(&j));
        self.expect(found.as_ref().is_ok_and(|f| allowed.contains(f)), || {
            format!("found {:?} after a start, allowed {}", found.as_ref().map(brief), briefs(allowed))
        });
    }
}

/// One of this many recoveries is itself interrupted by power losses.
const DEEP: u64 = 24;

/// Runs one script on one disk: after each call from `from` to `to`, every state that a power loss or the end
/// of the process could leave is recovered.
fn run(seed: u64, steps: usize, fault: Fault, ignored: IgnoredCalls, (from, to): (usize, usize)) -> Shown {
    let disk = Simulated::new(Files::new(), fault).ignoring(ignored);
    let allowed: Allowed = Rc::new(RefCell::new(vec![State::new()]));
    let shown = Rc::new(RefCell::new(Shown::default()));
    let (of, may, tells) = (disk.clone(), allowed.clone(), shown.clone());
    disk.watch(move || {
        let call = of.sizes().len();
        if call < from || call > to || tells.borrow().wrong.is_some() {
            return;
        }
        let (mut shown, may) = (tells.borrow_mut(), may.borrow());
        shown.recover(&of.after_a_kill(), &may, true);
        for left in of.after_power_loss(seed + call as u64) {
            let deep = shown.states.is_multiple_of(DEEP);
            shown.recover(&Simulated::new(left, Fault::None), &may, deep);
        }
    });
    if let Ok((mut journal, _)) = open(&disk, seed) {
        play(&mut journal, seed, steps, &allowed);
    }
    disk.unwatch();
    shown.take()
}

const NONE_IGNORED: IgnoredCalls = IgnoredCalls { sync: false, sync_folder: false };
const ALL_CALLS: (usize, usize) = (0, usize::MAX);

/// Runs on several threads; panics on the first wrong state.
fn all(runs: Vec<Box<dyn FnOnce() -> Shown + Send>>) -> u64 {
    let runs = std::sync::Mutex::new(runs);
    let worker = || {
        let mut states = 0;
        loop {
            let next = runs.lock().expect("no run panics while it is taken").pop();
            let Some(run) = next else { return states };
            let shown = run();
            assert_eq!(shown.wrong, None, "after {states} states");
            states += shown.states;
        }
    };
    let workers = thread::available_parallelism().map_or(2, usize::from);
    thread::scope(|scope| {
        let all: Vec<_> = (0..workers).map(|_| scope.spawn(worker)).collect();
        all.into_iter().map(|w| w.join().expect("every state is recovered")).sum()
    })
}

/// Bypasses the capture of test output: the counts belong in the log of each run.
fn print(text: &str) {
    use std::io::Write;
    let _ = writeln!(io::stderr(), "{text}");
}

#[test]
fn every_loss_of_power_leaves_what_was_acknowledged() {
    let script = |seed| -> Box<dyn FnOnce() -> Shown + Send> {
        Box::new(move || run(seed, 120, Fault::None, NONE_IGNORED, ALL_CALLS))
    };
    let states = all((1..=4).map(script).collect());
    print(&format!("power: {states} states after a loss of power were recovered"));
    assert!(states >= 100_000, "{states}");
}

/// Each call fails once, at its start or after half of its bytes; then the power is lost at any of the
/// following calls.
#[test]
fn a_loss_of_power_after_a_call_that_failed_leaves_what_was_acknowledged() {
    let calls = |seed| {
        let disk = Simulated::default();
        let (mut journal, _) = open(&disk, seed).expect("opens");
        play(&mut journal, seed, 60, &Rc::default());
        disk.sizes()
    };
    let mut runs: Vec<Box<dyn FnOnce() -> Shown + Send>> = Vec::new();
    for seed in [20] {
        for (call, size) in calls(seed).into_iter().enumerate() {
            for after in std::collections::BTreeSet::from([0, size / 2]) {
                let fault = Fault::Fails { call, after };
                runs.push(Box::new(move || run(seed, 60, fault, NONE_IGNORED, (call, call + 8))));
            }
        }
    }
    let faults = runs.len();
    let states = all(runs);
    print(&format!("power: {faults} calls that failed, {states} states after them were recovered"));
    assert!(faults > 150 && states > 100_000, "{faults} {states}");
}

/// Each safeguard is needed: with any one disabled, one of the runs goes wrong.
#[test]
fn no_safeguard_can_be_left_out() {
    let wrong = |disabled: Option<Safeguard>, ignored: IgnoredCalls| {
        let clean = || run(3, 120, Fault::None, ignored, ALL_CALLS);
        let failing = |call| run(20, 40, Fault::Fails { call, after: 0 }, ignored, (call, call + 8));
        with_disabled(disabled, || {
            clean().wrong.is_some() || (0..90).any(|call| failing(call).wrong.is_some())
        })
    };
    assert!(!wrong(None, NONE_IGNORED), "with all of them nothing goes wrong");
    assert!(wrong(None, IgnoredCalls { sync: true, ..NONE_IGNORED }), "files are synced");
    assert!(wrong(None, IgnoredCalls { sync_folder: true, ..NONE_IGNORED }), "the folder is synced");
    for disabled in [
        Safeguard::RenameAfterFirstSync,
        Safeguard::NewFileAfterFailedSync,
        Safeguard::LaterSegmentWins,
        Safeguard::IgnoreBehindCut,
        Safeguard::RewriteUnsyncedTail,
        Safeguard::DropWithWholeBatch,
        Safeguard::RemoveAfterCommit,
    ] {
        assert!(wrong(Some(disabled), NONE_IGNORED), "{disabled:?} is needed");
    }
    assert!(!stale_block_counts(), "a block of another file is no record");
    assert!(
        with_disabled(Some(Safeguard::ChecksumWithIdentity), stale_block_counts),
        "the segment's identity is needed"
    );
}

/// A new folder, in which a block of an earlier file is left behind the end of a file.
fn stale_block_counts() -> bool {
    let life = |disk: &Simulated, seed| {
        let (mut journal, _) = open(disk, seed).expect("opens");
        journal.accept(1, test_message("m1", 40));
        journal.flush().expect("written");
        journal
    };
    let before = Simulated::default();
    let mut journal = life(&before, 1);
    let from = before.files().values().next().map_or(0, Vec::len);
    journal.end(1);
    journal.flush().expect("written");
    let stale = before.files().into_values().next().expect("a segment")[from..].to_vec();
    let now = Simulated::default();
    drop(life(&now, 2));
    let mut files = now.files();
    files.values_mut().next().expect("a segment").extend(stale);
    let (journal, _) = open(&Simulated::new(files, Fault::None), 3).expect("opens");
    journal.get(1).is_none()
}
