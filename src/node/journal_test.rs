use super::*;
use crate::store::frame;
use crate::store::simulated::{Fault, Simulated};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};

const DISK: u64 = 3_000_000;

fn journal_options(room: u64) -> JournalOptions {
    JournalOptions { room, durability: Durability::Process, refuse_damage: false }
}

struct Place(std::path::PathBuf);

impl Place {
    fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("courier-journal-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Place(path)
    }

    fn open(&self, seed: u64) -> (Journal, Recovery) {
        Journal::open(&self.0, journal_options(DISK), seed).expect("opens")
    }

    /// The segments, oldest first.
    fn segments(&self) -> Vec<std::path::PathBuf> {
        let mut files: Vec<_> =
            fs::read_dir(self.0.join(NAME)).expect("the folder").flatten().map(|f| f.path()).collect();
        files.sort();
        files
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub(super) fn test_message(id: &str, body: usize) -> Rc<Message> {
    Rc::new(Message {
        id: id.to_owned(),
        class: "notice".to_owned(),
        tenant: "acme".to_owned(),
        destination: 7,
        key: body.is_multiple_of(2).then(|| format!("k-{id}")),
        until: Duration::from_micros(1_790_000_000_000_001),
        body: Bytes::from(vec![b'x'; body]),
    })
}

pub(super) fn attempt(host: &str) -> Attempt {
    let sent = Duration::from_micros(1_790_000_000_000_002);
    Attempt { host: host.to_owned(), zone: "a".to_owned(), sent, may_have_run: true }
}

/// The live messages without the time of acceptance, which comes from the clock.
pub(super) type State = Vec<(u64, LiveMessage)>;

pub(super) fn state<D: Disk>(journal: &Journal<D>) -> State {
    journal.live().map(|(n, live)| (n, LiveMessage { taken: Duration::ZERO, ..live.clone() })).collect()
}

type Step = fn(&mut Journal<Simulated>, u64);

/// A possible life of a message; each step is followed by a commit.
const STEPS: [Step; 8] = [
    |j, n| j.accept(n, test_message(&format!("m{n}"), (n % 40) as usize * 9)),
    |j, n| j.attempt(n, attempt("s-1")),
    |j, n| j.never_ran(n, 0),
    |j, n| j.attempt(n, attempt("s-2")),
    |j, n| {
        j.accept(n + 1000, test_message(&format!("n{n}"), 5));
        j.attempt(n + 1000, attempt("s-3"));
    },
    |j, n| j.record_verdict(n, Verdict::Bounced { wait: Some(Duration::from_millis(500)) }),
    |j, n| j.end(n),
    |j, n| {
        if n % 3 > 0 {
            j.end(n + 1000);
        }
    },
];

fn simulated(disk: &Simulated, room: u64) -> io::Result<(Journal<Simulated>, Recovery)> {
    Journal::open_on(disk.clone(), Plan::of(journal_options(room), 7), room)
}

/// Runs the steps for so many messages; calls `done` after each successful commit.
fn play(journal: &mut Journal<Simulated>, messages: u64, mut done: impl FnMut(&Journal<Simulated>)) {
    for n in 1..=messages {
        for step in STEPS {
            step(journal, n);
            if journal.flush().is_ok() {
                done(journal);
            }
        }
    }
}

/// States that may be found after the process ended: the one after the last successful commit, and those
/// after each record of the interrupted commit.
fn possible(before: &State, after: &State) -> Vec<State> {
    let mut all = vec![before.clone(), after.clone()];
    // Two records in one commit: a new message and its attempt.
    let mut between = after.clone();
    between.iter_mut().for_each(|(n, live)| {
        if !before.iter().any(|(m, _)| m == n) {
            live.attempts.clear();
        }
    });
    all.push(between);
    all
}

#[test]
fn a_reopened_journal_holds_what_was_written() {
    let disk = Simulated::default();
    let (mut journal, _) = simulated(&disk, DISK).expect("opens");
    play(&mut journal, 30, |_| ());
    let (again, recovery) = simulated(&disk, DISK).expect("opens");
    assert_eq!(state(&again), state(&journal));
    assert_eq!(again.count(), 10, "every third one of the other kind lives");
    assert!(recovery.damage.is_empty() && recovery.assumed_run == 0, "{recovery:?}");
    assert_eq!(recovery.last, 1030);
}

/// The process ends within every disk call, after different numbers of bytes: acknowledged messages are
/// there, ended ones are not, and the next start finds the same state.
#[test]
fn every_point_at_which_the_process_may_end_leaves_what_was_acknowledged() {
    // Small segments, so that some are sealed and dropped during the test.
    let room = 150_000;
    let (messages, mut points) = (60, 0u64);
    let disk = Simulated::default();
    let mut states: Vec<(usize, State)> = vec![(0, Vec::new())];
    let (mut journal, _) = simulated(&disk, room).expect("opens");
    play(&mut journal, messages, |j| states.push((disk.sizes().len(), state(j))));
    let sizes = disk.sizes();
    assert!(disk.files().len() < 5, "old segments are dropped");
    for (call, size) in sizes.iter().enumerate() {
        let afters = (0..=*size).step_by((size / 24).max(1));
        for after in afters {
            points += 1;
            let disk = Simulated::new(Default::default(), Fault::Ends { call, after });
            let Ok((mut journal, _)) = simulated(&disk, room) else { continue };
            play(&mut journal, messages, |_| ());
            assert!(disk.has_ended());
            let left = Simulated::new(disk.files(), Fault::None);
            let (found, recovery) = simulated(&left, room).expect("opens");
            let done = states.iter().rposition(|(calls, _)| *calls <= call).expect("the first");
            let (before, next) = (&states[done].1, &states[(done + 1).min(states.len() - 1)].1);
            let found = state(&found);
            assert!(possible(before, next).contains(&found), "call {call} after {after}: {found:?}");
            assert!(recovery.damage.is_empty() && recovery.assumed_run == 0, "{call} {after}: {recovery:?}");
            let (again, _) = simulated(&left, room).expect("opens");
            assert_eq!(state(&again), found, "the next start finds the same");
        }
    }
    println!("{points} points at which the process ended");
    assert!(points > 5_000, "{points}");
}

/// Every disk call fails once, after part of its bytes: nothing is lost and nothing is reported as damage.
#[test]
fn a_call_that_fails_costs_nothing_once_the_disk_works_again() {
    let room = 150_000;
    let disk = Simulated::default();
    let (mut journal, _) = simulated(&disk, room).expect("opens");
    play(&mut journal, 40, |_| ());
    let (want, sizes) = (state(&journal), disk.sizes());
    let mut points = 0;
    for (call, size) in sizes.iter().enumerate() {
        for after in BTreeSet::from([0, size / 2, size.saturating_sub(1), *size]) {
            points += 1;
            let disk = Simulated::new(Default::default(), Fault::Fails { call, after });
            let Ok((mut journal, _)) = simulated(&disk, room) else { continue };
            play(&mut journal, 40, |_| ());
            journal.flush().expect("works again");
            assert_eq!(state(&journal), want);
            let (again, recovery) = simulated(&disk, room).expect("opens");
            assert_eq!(state(&again), want, "call {call} after {after}");
            assert!(recovery.damage.is_empty() && recovery.assumed_run == 0, "{call} {after}: {recovery:?}");
        }
    }
    println!("{points} calls that failed");
    assert!(points > 900, "{points}");
}

/// Each read call fails during a start: that start is refused, nothing is changed, and the next one finds
/// everything.
#[test]
fn a_folder_that_cannot_be_read_refuses_the_start_and_loses_nothing() {
    let disk = full(700);
    let counting = Simulated::new(disk.files(), Fault::None);
    simulated(&counting, DISK).expect("opens");
    let reads = counting.reads();
    assert!(reads > 6, "{reads}");
    for call in 0..reads {
        let failing = Simulated::new(disk.files(), Fault::FailsRead { call });
        let refused = simulated(&failing, DISK).map(|_| ()).expect_err("refused").to_string();
        assert!(refused.contains("cannot be read"), "{refused}");
        assert_eq!(failing.files(), disk.files(), "{call}");
        let (journal, _) = simulated(&failing, DISK).expect("opens");
        assert_eq!(journal.count(), 700, "{call}");
    }
}

/// With `refuse_damage`, a start on a damaged journal reports the damage and changes nothing.
#[test]
fn a_start_on_damage_is_refused_where_the_policy_says_so() {
    let refusing = |disk: &Simulated| {
        let plan = Plan::of(JournalOptions { refuse_damage: true, ..journal_options(DISK) }, 7);
        Journal::open_on(disk.clone(), plan, DISK).map(|(journal, _)| journal.count())
    };
    let disk = full(100);
    assert_eq!(refusing(&disk).expect("nothing is damaged"), 100);
    let damaged = corrupt(&disk, |files| files[0][5000] ^= 4);
    let (before, why) = (damaged.files(), refusing(&damaged).expect_err("refused").to_string());
    assert!(why.contains("0000000000000001 at ") && why.contains("nothing was changed"), "{why}");
    assert_eq!(damaged.files(), before);
}

/// A sealed segment is corrupted while the process runs: scrubbing finds it, and it is rewritten from memory.
#[test]
fn a_segment_corrupted_at_run_time_is_rewritten_from_memory() {
    let disk = full(1000);
    let (mut journal, _) = simulated(&disk, DISK).expect("opens");
    let want = state(&journal);
    let sealed = disk.files().len();
    for _ in 0..sealed {
        let scrubbed = journal.scrub().expect("a sealed segment").run();
        assert!(scrubbed.damage.is_none(), "{scrubbed:?}");
    }
    disk.corrupt("0000000000000002", 9000);
    let damaged: Vec<_> = (0..sealed).filter_map(|_| journal.scrub()).map(Scrub::run).collect();
    let damaged: Vec<_> = damaged.into_iter().filter(|s| s.damage.is_some()).collect();
    assert_eq!(damaged.iter().map(|s| s.number).collect::<Vec<_>>(), [2]);
    assert!(journal.scrubbed(&damaged[0]) && journal.is_behind());
    while journal.is_behind() {
        journal.flush().expect("written");
    }
    assert!(!disk.files().contains_key("0000000000000002"), "it is dropped");
    assert!(disk.files().keys().any(|name| name.starts_with("aside-0000000000000002")), "and kept aside");
    let (again, recovery) = simulated(&disk, DISK).expect("opens");
    assert_eq!((state(&again), recovery.damage.len(), recovery.assumed_run), (want, 0, 0));
}

/// After the only sealed segment is dropped there is nothing to scrub, and nothing is reported as vanished.
#[test]
fn a_segment_that_was_dropped_is_not_read_again() {
    let (mut journal, _) = simulated(&Simulated::default(), DISK).expect("opens");
    (1..=300).for_each(|n| journal.accept(n, test_message(&format!("m{n}"), 900)));
    journal.flush().expect("written");
    assert!(journal.scrub().is_some_and(|scrub| scrub.run().damage.is_none()), "one is sealed");
    (1..=300).for_each(|n| journal.end(n));
    journal.flush().expect("written");
    assert!(journal.scrub().is_none());
}

/// Live messages, each with one attempt that is known not to have run.
fn full(messages: u64) -> Simulated {
    let disk = Simulated::default();
    let (mut journal, _) = simulated(&disk, DISK).expect("opens");
    for n in 1..=messages {
        journal.accept(n, test_message(&format!("m{n}"), 300));
        journal.attempt(n, attempt("s-1"));
        journal.never_ran(n, 0);
        journal.flush().expect("written");
    }
    disk
}

fn corrupt(disk: &Simulated, act: impl FnOnce(&mut Vec<Vec<u8>>)) -> Simulated {
    let files = disk.files();
    let mut contents: Vec<_> = files.values().cloned().collect();
    act(&mut contents);
    Simulated::new(files.into_keys().zip(contents).collect(), Fault::None)
}

/// In the old format a flipped bit silently lost everything behind it: 199 of 2,000 messages were resumed.
#[test]
fn a_flipped_bit_loses_at_most_one_message() {
    let disk = full(1000);
    let length = disk.files().values().next().expect("a segment").len();
    for n in 0..64 {
        let at = 128 + (length - 129) * n / 64;
        let damaged = corrupt(&disk, |files| files[0][at] ^= 1 << (n % 8));
        let (journal, recovery) = simulated(&damaged, DISK).expect("opens");
        let lost = recovery.unreadable + recovery.id_only;
        assert!(journal.count() + recovery.unreadable >= 999 && lost <= 1, "{at}: {recovery:?}");
        assert_eq!(recovery.damage.len(), 1, "{at}: {recovery:?}");
        let kept = recovery.damage[0].quarantined && damaged.files().len() > disk.files().len();
        assert!(kept, "{at}: {recovery:?}");
        // The damaged part is not removed: the next start finds the same.
        let (again, second) = simulated(&damaged, DISK).expect("opens");
        assert_eq!(state(&again), state(&journal), "{at}");
        assert_eq!(second.damage, recovery.damage, "{at}");
    }
}

#[test]
fn zeroed_sectors_lose_only_their_own_records() {
    let disk = full(1000);
    let damaged = corrupt(&disk, |files| files[0][20_480..20_992].fill(0));
    let (journal, recovery) = simulated(&damaged, DISK).expect("opens");
    assert!(journal.count() >= 997, "{} of 1000", journal.count());
    assert!(recovery.damage.len() <= 3, "{recovery:?}");
    // It is not known whose attempts were in it: all messages that were live then may have run.
    assert!(recovery.assumed_run > 10 && recovery.assumed_run < 60, "{recovery:?}");
    let may = |live: &LiveMessage| live.attempts.iter().any(|a| a.may_have_run);
    assert_eq!(journal.live().filter(|(_, live)| may(live)).count(), recovery.assumed_run);
    let (again, second) = simulated(&damaged, DISK).expect("opens");
    assert_eq!((state(&again), second.assumed_run), (state(&journal), 0), "they are doubted once");
}

/// For each kind of record: what is known of its message after the record is corrupted.
#[test]
fn a_corrupt_record_affects_only_its_own_message() {
    let disk = Simulated::default();
    let (mut journal, _) = simulated(&disk, DISK).expect("opens");
    let mut at = Vec::new();
    let end = |disk: &Simulated| disk.files().values().next().map_or(0, Vec::len);
    let steps: [Step; 6] = [
        |j, n| j.accept(n, test_message("mine", 80)),
        |j, n| j.attempt(n, attempt("s-1")),
        |j, n| j.never_ran(n, 0),
        |j, n| j.record_verdict(n, Verdict::Bounced { wait: None }),
        |j, _| j.accept(2, test_message("other", 80)),
        |j, n| j.end(n),
    ];
    for step in steps {
        step(&mut journal, 1);
        journal.flush().expect("written");
        at.push(end(&disk) - 1);
    }
    // The last byte of a record belongs to its payload, if it has one.
    let damaged = |record: usize, steps: usize| {
        let disk = corrupt(&disk, |files| {
            files[0].truncate(at[steps - 1] + 1);
            files[0][at[record]] ^= 1;
        });
        let (journal, recovery) = simulated(&disk, DISK).expect("opens");
        assert_eq!(recovery.damage.len(), 1);
        (journal.get(1).cloned(), journal.get(2).is_some(), recovery)
    };
    let (mine, _, recovery) = damaged(0, 3);
    let mine = mine.expect("its id can be read");
    assert_eq!((mine.submitted.id.as_str(), mine.verdict), ("mine", Some(Verdict::Dead)));
    assert_eq!((recovery.id_only, recovery.assumed_run), (1, 0));
    let (mine, _, recovery) = damaged(1, 3);
    assert!(
        mine.expect("it lives").attempts.iter().any(|a| a.may_have_run),
        "the attempt may have been made"
    );
    assert_eq!(recovery.assumed_run, 1);
    let (mine, _, _) = damaged(2, 3);
    assert!(mine.expect("it lives").attempts[0].may_have_run, "nothing proves the contrary any more");
    let (mine, other, _) = damaged(3, 5);
    assert_eq!(mine.expect("it is owed its notice").verdict, Some(Verdict::Dead));
    assert!(other);
}

#[test]
fn a_missing_or_misnumbered_segment_is_reported() {
    let disk = full(1000);
    let mut files = disk.files();
    assert!(files.len() >= 4, "{}", files.len());
    let names: Vec<String> = files.keys().cloned().collect();
    files.remove(&names[1]);
    let (journal, recovery) = simulated(&Simulated::new(files.clone(), Fault::None), DISK).expect("opens");
    assert!(journal.count() > 500 && journal.count() < 1000);
    assert!(recovery.damage.iter().any(|d| d.what.contains("vanished")), "{recovery:?}");
    assert!(recovery.assumed_run > 0);
    // A copy of a segment under the next number: its records are not applied again.
    let mut files = disk.files();
    let copy = files[&names[0]].clone();
    files.insert(format!("{:016x}", names.len() + 1), copy);
    let (journal, recovery) = simulated(&Simulated::new(files, Fault::None), DISK).expect("opens");
    assert_eq!((journal.count(), recovery.damage.len()), (1000, 1), "{recovery:?}");
}

#[test]
fn a_newer_format_is_refused_untouched() {
    let mut files = full(10).files();
    let (name, bytes) = files.iter().next().expect("a segment");
    let (name, mut bytes) = (name.clone(), bytes.clone());
    bytes[7] = 4;
    let sum = crc32fast::hash(&bytes[..60]).to_le_bytes();
    bytes[60..64].copy_from_slice(&sum);
    files.insert(name.clone(), bytes);
    let disk = Simulated::new(files.clone(), Fault::None);
    let fault = simulated(&disk, DISK).map(|_| ()).expect_err("refused").to_string();
    assert!(fault.contains(&name) && fault.contains("format 4"), "{fault}");
    assert_eq!(disk.files(), files);
}

#[test]
fn the_disk_s_bound_is_kept() {
    let (room, disk) = (400_000, Simulated::default());
    let (mut j, _) = simulated(&disk, room).expect("opens");
    let (mut refused, mut live) = (0, std::collections::VecDeque::new());
    for n in 1..3000u64 {
        let new = test_message(&format!("m{n}"), (n as usize * 37) % 9000);
        if j.fits(&new) {
            j.accept(n, new);
            for a in 0..4 {
                j.attempt(n, attempt("s-of-a-usual-length"));
                j.never_ran(n, a);
            }
            live.push_back(n);
        } else {
            refused += 1;
            j.end(live.pop_front().expect("something lives"));
        }
        j.flush().expect("written");
        assert!(disk.size() <= room, "{}", disk.size());
    }
    assert!(refused > 100);
    let (again, _) = simulated(&disk, room).expect("opens");
    assert_eq!(state(&again), state(&j));
}

#[test]
fn ended_messages_do_not_fill_the_disk() {
    let disk = Simulated::default();
    let (mut j, _) = simulated(&disk, DISK).expect("opens");
    j.accept(1, test_message("old", 100));
    j.attempt(1, attempt("s-1"));
    j.attempt(1, attempt("s-2"));
    j.never_ran(1, 0);
    for n in 2..3000 {
        j.accept(n, test_message("new", 300));
        j.flush().expect("written");
        j.end(n);
        j.flush().expect("written");
        assert!(disk.size() < 400_000, "{}", disk.size());
    }
    let (again, _) = simulated(&disk, DISK).expect("opens");
    assert_eq!(state(&again), state(&j));
    let old = again.get(1).expect("it still lives");
    assert_eq!(old.attempts.iter().map(|a| a.may_have_run).collect::<Vec<_>>(), [false, true]);
}

#[test]
fn as_many_usual_messages_fit_as_a_courier_holds() {
    // With too large a reserve for later records, 580 messages of a backlog filled the disk.
    let (mut j, _) = simulated(&Simulated::default(), DISK).expect("opens");
    for n in 1..=1000u64 {
        let new = test_message(&format!("9b1f03aa5c7e{n:04x}"), 480);
        assert!(j.fits(&new), "{n}");
        j.accept(n, new);
        j.flush().expect("written");
    }
}

#[test]
fn it_works_on_a_real_folder() {
    let place = Place::new();
    let (mut journal, _) = place.open(1);
    journal.accept(1, test_message("a", 10));
    journal.attempt(1, attempt("s-1"));
    journal.flush().expect("written");
    let segments = place.segments();
    assert_eq!(segments.len(), 1);
    let (again, recovery) = place.open(2);
    assert_eq!((state(&again), recovery.last), (state(&journal), 1));
    // Two hundred starts that all write: old segments are dropped.
    for seed in 3..200 {
        let (mut journal, _) = place.open(seed);
        journal.attempt(1, attempt(&"s".repeat(800)));
        journal.flush().expect("written");
    }
    assert!(place.segments().len() < 200);
    let (last, _) = place.open(200);
    assert_eq!(last.get(1).expect("it lives").attempts.len(), 198);
}

/// A journal in the old format: a message with an attempt, one with a verdict, one that has ended.
fn old_form() -> Vec<u8> {
    let text = |to: &mut Vec<u8>, text: &str| {
        to.extend_from_slice(&(text.len() as u32).to_le_bytes());
        to.extend_from_slice(text.as_bytes());
    };
    let record = |kind: u8, message: u64| [&[kind][..], &message.to_le_bytes()].concat();
    let mut records = Vec::new();
    for n in 1..=3u64 {
        let mut accepted = record(1, n);
        accepted.extend_from_slice(&1_790_000_000_000_001u64.to_le_bytes());
        accepted.extend_from_slice(&7u64.to_le_bytes());
        text(&mut accepted, &format!("m{n}"));
        text(&mut accepted, "notice");
        accepted.push(1);
        text(&mut accepted, &format!("k-m{n}"));
        text(&mut accepted, "xx");
        text(&mut accepted, "acme");
        records.push(accepted);
    }
    let mut attempted = record(2, 1);
    attempted.extend_from_slice(&1_790_000_000_000_002u64.to_le_bytes());
    text(&mut attempted, "s-1");
    text(&mut attempted, "a");
    let mut judged = record(4, 2);
    judged.extend_from_slice(&[1, 0, 0, 0, 0, 0, 0, 0, 0]);
    records.extend([attempted, judged, record(5, 3)]);
    let framed = records.iter().flat_map(|r| {
        let head = [(r.len() as u32).to_le_bytes(), crc32fast::hash(r).to_le_bytes()].concat();
        [head, r.clone()].concat()
    });
    framed.collect()
}

#[test]
fn an_old_format_journal_is_migrated_wherever_that_is_interrupted() {
    let check = |place: &Place| {
        let (journal, _) = place.open(9);
        let one = journal.get(1).expect("it lives");
        assert_eq!(
            (one.submitted.as_ref(), &one.attempts[..]),
            (&*test_message("m1", 2), &[attempt("s-1")][..])
        );
        assert_eq!(
            journal.get(2).expect("its notice is owed").verdict,
            Some(Verdict::Bounced { wait: None })
        );
        assert_eq!(journal.count(), 2);
        let (again, _) = place.open(10);
        assert_eq!(state(&again), state(&journal));
        let mut left: Vec<_> =
            fs::read_dir(&place.0).expect("listed").flatten().map(|f| f.file_name()).collect();
        left.sort();
        assert_eq!(left, [NAME]);
    };
    // With a leftover rewrite and a partial new journal; between the two renames; with only the removal pending.
    let place = Place::new();
    fs::write(place.0.join(NAME), old_form()).expect("written");
    fs::write(place.0.join("journal.next"), b"half a rewrite").expect("written");
    fs::create_dir(place.0.join("journal.2")).expect("made");
    fs::write(place.0.join("journal.2/0000000000000001"), b"half").expect("written");
    check(&place);
    let (between, done) = (Place::new(), Place::new());
    for place in [&between, &done] {
        fs::write(place.0.join(NAME), old_form()).expect("written");
        drop(place.open(1));
        fs::write(place.0.join("journal.1"), old_form()).expect("written");
    }
    fs::rename(between.0.join(NAME), between.0.join("journal.2")).expect("renamed");
    check(&between);
    check(&done);
}

/// Damage to a file: a byte changed; a part zeroed, removed or duplicated; the end lost.
#[derive(Clone, Copy, Debug)]
enum FileDamage {
    Byte(u8),
    Zero(usize),
    Out(usize),
    Twice(usize),
    End,
}

fn file_damage() -> impl proptest::strategy::Strategy<Value = DamagedFile> {
    use proptest::prelude::*;
    let kind = prop_oneof![
        (1..=u8::MAX).prop_map(FileDamage::Byte),
        (1..2000usize).prop_map(FileDamage::Zero),
        (1..2000usize).prop_map(FileDamage::Out),
        (1..2000usize).prop_map(FileDamage::Twice),
        Just(FileDamage::End),
    ];
    (0..8usize, 0.0..1.0f64, kind)
}

fn apply_damage(bytes: &mut Vec<u8>, at: usize, damage: FileDamage) {
    let to = |n: usize| (at + n).min(bytes.len());
    match damage {
        FileDamage::Byte(change) => bytes.iter_mut().skip(at).take(1).for_each(|b| *b ^= change),
        FileDamage::Zero(n) => {
            let to = to(n);
            bytes[at..to].fill(0);
        }
        FileDamage::Out(n) => drop(bytes.drain(at..to(n))),
        FileDamage::Twice(n) => {
            let piece = bytes[at..to(n)].to_vec();
            bytes.splice(at..at, piece);
        }
        FileDamage::End => bytes.truncate(at),
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    /// Whatever damage a file has: no message is invented, no attempt that may have run counts as not run,
    /// and the next start reports the same damage and finds the same state.
    #[test]
    fn any_damage_loses_only_what_it_hit_and_invents_nothing(damages in proptest::collection::vec(file_damage(), 1..6)) {
        check_damage(&damages)?;
    }
}

/// Index of the file, offset as a share of its length, and the damage.
type DamagedFile = (usize, f64, FileDamage);

/// The property: after this damage the folder still yields only what was written to it.
fn check_damage(damages: &[DamagedFile]) -> Result<(), proptest::test_runner::TestCaseError> {
    let disk = full(600);
    let mut files = disk.files();
    let names: Vec<String> = files.keys().cloned().collect();
    for (file, share, damage) in damages {
        // Not the last file: nothing shows that its end is missing.
        let bytes = files.get_mut(&names[file % (names.len() - 1)]).expect("a file");
        let at = (bytes.len() as f64 * share) as usize;
        apply_damage(bytes, at, *damage);
    }
    let damaged = Simulated::new(files, Fault::None);
    let (journal, recovery) = simulated(&damaged, DISK).expect("opens");
    for (n, live) in journal.live() {
        proptest::prop_assert_eq!(&live.submitted.id, &format!("m{n}"));
        // All were tried once, and that attempt did not run: if that record is lost, the attempt may have
        // run.
        let may = live.attempts.iter().any(|a| a.may_have_run);
        let known = live.attempts.len() == 1 && !may;
        proptest::prop_assert!(known || may || live.verdict.is_some(), "{:?}", live);
    }
    let (again, second) = simulated(&damaged, DISK).expect("opens");
    proptest::prop_assert_eq!(state(&again), state(&journal));
    proptest::prop_assert_eq!(second.damage, recovery.damage);
    proptest::prop_assert_eq!(second.assumed_run, 0);
    Ok(())
}

/// Found by the property test: a duplicated part puts the payload of one message's record behind the header
/// of the next one's.
#[test]
fn a_duplicated_part_gives_no_message_the_id_of_another() {
    check_damage(&[(1, 0.1823849507130787, FileDamage::Twice(498))]).expect("nothing is made up");
}

/// The same from any record of a message to any later one.
#[test]
fn a_part_duplicated_between_any_two_messages_invents_nothing() {
    let (name, bytes) = full(20).files().into_iter().next().expect("a segment");
    let (_, found) = frame::read(&bytes).expect("a head is sound");
    let payload = |(at, piece): &frame::Found| match piece {
        frame::Piece::Record(record) if record.label.kind == RecordKind::Snapshot as u8 => {
            Some(at + RECORD_HEADER)
        }
        _ => None,
    };
    let payloads: Vec<usize> = found.iter().filter_map(payload).collect();
    assert_eq!(payloads.len(), 20);
    for (n, from) in payloads.iter().enumerate() {
        for to in &payloads[n + 1..] {
            let mut twice = bytes.clone();
            apply_damage(&mut twice, *from, FileDamage::Twice(to - from));
            let damaged = Simulated::new([(name.clone(), twice)].into(), Fault::None);
            let (journal, recovery) = simulated(&damaged, DISK).expect("opens");
            let ids = journal.live().all(|(n, live)| live.submitted.id == format!("m{n}"));
            assert!(ids, "from {from} to {to}");
            assert_eq!((recovery.id_only, recovery.unreadable), (0, 1), "from {from} to {to}");
        }
    }
}

/// A record of an earlier version: the checksum of its id does not include the message's number.
#[test]
fn an_id_with_the_old_checksum_is_still_read() {
    let live = LiveMessage { submitted: test_message("m7", 300), ..LiveMessage::default() };
    let mut payload = record_codec::encode_snapshot(7, &live);
    let id_end = size_of::<u32>() + "m7".len();
    let check = crc32fast::hash(&payload[..id_end]).to_le_bytes();
    payload[id_end..id_end + check.len()].copy_from_slice(&check);
    assert_eq!(record_codec::decode_id(7, &payload).as_deref(), Some("m7"));
    assert_eq!(record_codec::decode_snapshot(&payload), Some(live));
    payload[id_end - 1] ^= 1;
    assert_eq!(record_codec::decode_id(7, &payload), None);
}
