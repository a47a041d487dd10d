//! Journal benchmarks: the cost of a record and the duration of a start. The figures in the documentation come from
//! here; they are comparable within one run only.

mod common;
use common::*;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use lanegate_courier::node::journal::{Journal, JournalOptions, Message, Verdict};
use lanegate_courier::store::{Durability, frame};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use std::hint::black_box;
use std::rc::Rc;

fn open_at(place: &Place, room: u64, durability: Durability) -> Journal {
    let journal_options = JournalOptions { room, durability, refuse_damage: false };
    Journal::open(&place.0, journal_options, 1).expect("opens").0
}

/// A message with all the fields of a typical one.
fn usual(n: u64, body: usize) -> Rc<Message> {
    Rc::new(Message {
        class: "update-notices".to_owned(),
        tenant: "namib-marine".to_owned(),
        destination: 7,
        key: Some(format!("k-{n}")),
        ..letter(n, body)
    })
}

/// Waits for a commit that is made on another thread.
fn commit(journal: &mut Journal, runtime: &tokio::runtime::Runtime) {
    let done = journal.commit().unwrap_or_else(|| runtime.block_on(journal.done()));
    done.expect("written");
}

/// A message's usual records (accepted, attempted, ended), each in its own commit, as a courier with one message
/// at a time writes them.
fn message(c: &mut Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let mut group = c.benchmark_group("message");
    for (name, durability) in [("process", Durability::Process), ("power", Durability::Power)] {
        let place = Place::new(name);
        let mut journal = open_at(&place, 3_000_000, durability);
        let mut n = 0;
        group.sample_size(if durability == Durability::Power { 10 } else { 50 });
        group.bench_function(name, |b| {
            b.iter(|| {
                n += 1;
                journal.accept(n, usual(n, 350));
                commit(&mut journal, &runtime);
                journal.attempt(n, attempt("s-117"));
                commit(&mut journal, &runtime);
                journal.end(n);
                commit(&mut journal, &runtime);
            });
        });
    }
    group.finish();
}

/// Creates a journal with this many bytes of live messages, a tenth of them decided.
fn filled(name: &str, live: u64, body: usize) -> (Place, u64) {
    let (place, room) = (Place::new(name), live * 3);
    let mut journal = open_at(&place, room, Durability::Process);
    let (mut n, mut held) = (0, 0);
    while held < live {
        n += 1;
        held += body as u64 + 200;
        journal.accept(n, usual(n, body));
        journal.attempt(n, attempt("s-117"));
        journal.never_ran(n, 0);
        if n % 10 == 0 {
            journal.record_verdict(n, Verdict::Bounced { wait: None });
        }
        if n % 64 == 0 {
            journal.commit().expect("at once").expect("written");
        }
    }
    journal.commit().expect("at once").expect("written");
    (place, room)
}

/// Time from the call until all live messages are read, by live bytes. The largest case is a gigabyte.
fn open(c: &mut Criterion) {
    let mut group = c.benchmark_group("open");
    group.sample_size(10);
    for megabytes in [1, 10, 100, 1000] {
        let (place, room) = filled(&format!("open-{megabytes}"), megabytes * 1_000_000, 4000);
        group.throughput(Throughput::Bytes(megabytes * 1_000_000));
        group.bench_function(BenchmarkId::from_parameter(format!("{megabytes}MB")), |b| {
            b.iter(|| black_box(open_at(&place, room, Durability::Process).count()));
        });
    }
    group.finish();
}

/// Checks that reading takes time linear in the bytes, whatever they contain.
fn read(c: &mut Criterion) {
    let mut group = c.benchmark_group("read");
    group.sample_size(10);
    let mut rng = SmallRng::seed_from_u64(1);
    for megabytes in [1usize, 2, 4] {
        let head = frame::Head { number: 1, identity: 5, first: 1, oldest: 1, synced: false }.bytes();
        let mut noise = vec![0; megabytes * 1_000_000];
        rng.fill_bytes(&mut noise);
        // Worst case: a record could begin at every second byte.
        let magic: Vec<u8> = [0xD5, 0x4C].repeat(megabytes * 500_000);
        for (name, rest) in [("noise", noise), ("beginnings", magic)] {
            let bytes = [&head[..], &rest].concat();
            group.throughput(Throughput::Bytes(bytes.len() as u64));
            group.bench_function(BenchmarkId::new(name, format!("{megabytes}MB")), |b| {
                b.iter(|| black_box(frame::read(&bytes).map(|(_, found)| found.len())));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, message, open, read);
criterion_main!(benches);
