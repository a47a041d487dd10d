//! The versioned store on a simulated directory and on the file system.

use std::io;

use lanegate_coordination::storage::{Directory, FileDirectory, SimulatedDirectory, VersionedStore};
use proptest::collection::vec;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn open(directory: &mut dyn Directory) -> (VersionedStore, Option<Vec<u8>>) {
    VersionedStore::open(directory, "shard-1").expect("the store can be opened")
}

#[test]
fn an_empty_directory_has_no_record() {
    assert_eq!(open(&mut SimulatedDirectory::new()).1, None);
}

#[test]
fn the_newest_version_is_found_and_two_are_retained() {
    let mut directory = SimulatedDirectory::new();
    let (mut store, _) = open(&mut directory);
    for version in 1..=5_u8 {
        store.save(&mut directory, &[version]).unwrap();
    }
    assert_eq!(open(&mut directory).1, Some(vec![5]));
    assert_eq!(directory.list().unwrap().len(), 2);
}

#[test]
fn a_damaged_version_is_skipped_for_the_one_before() {
    let mut directory = SimulatedDirectory::new();
    let (mut store, _) = open(&mut directory);
    store.save(&mut directory, b"first").unwrap();
    store.save(&mut directory, b"second").unwrap();
    let newest = directory.list().unwrap().into_iter().max().unwrap();
    let mut bytes = directory.read(&newest).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    directory.write_new(&newest, &bytes).unwrap();
    let (mut store, record) = open(&mut directory);
    assert_eq!(record, Some(b"first".to_vec()));
    store.save(&mut directory, b"third").unwrap();
    assert_eq!(open(&mut directory).1, Some(b"third".to_vec()));
}

#[test]
fn temporary_and_foreign_files_are_ignored() {
    let mut directory = SimulatedDirectory::new();
    directory.write_new("shard-1.0000000000000001.tmp", b"half").unwrap();
    directory.write_new("shard-1.1", b"not a version").unwrap();
    directory.write_new("shard-10.0000000000000001", b"another record").unwrap();
    assert_eq!(open(&mut directory).1, None);
    let names = directory.list().unwrap();
    assert_eq!(names, ["shard-1.1", "shard-10.0000000000000001"]);
}

#[test]
fn stores_share_a_directory() {
    let mut directory = SimulatedDirectory::new();
    for shard in ["shard-1", "shard-10", "shard-2"] {
        let (mut store, _) = VersionedStore::open(&mut directory, shard).unwrap();
        store.save(&mut directory, shard.as_bytes()).unwrap();
    }
    for shard in ["shard-1", "shard-10", "shard-2"] {
        let (_, record) = VersionedStore::open(&mut directory, shard).unwrap();
        assert_eq!(record, Some(shard.as_bytes().to_vec()));
    }
}

#[test]
fn saving_fails_on_a_full_disk_and_succeeds_afterwards() {
    let mut directory = SimulatedDirectory::new();
    let (mut store, _) = open(&mut directory);
    store.save(&mut directory, b"before").unwrap();
    directory.rejects_writes = true;
    assert!(store.save(&mut directory, b"refused").is_err());
    assert_eq!(open(&mut directory.clone()).1, Some(b"before".to_vec()));
    directory.rejects_writes = false;
    store.save(&mut directory, b"after").unwrap();
    assert_eq!(open(&mut directory).1, Some(b"after".to_vec()));
}

#[test]
fn the_previous_version_is_pruned_on_a_nearly_full_disk() {
    let mut directory = SimulatedDirectory::new();
    let (mut store, _) = open(&mut directory);
    store.save(&mut directory, &[1; 100]).unwrap();
    store.save(&mut directory, &[2; 100]).unwrap();
    directory.capacity = Some(300);
    store.save(&mut directory, &[3; 100]).unwrap();
    assert_eq!(open(&mut directory).1, Some(vec![3; 100]));
}

#[test]
fn a_file_system_directory_retains_the_newest_version() -> io::Result<()> {
    let path = std::env::temp_dir().join(format!("lanegate-storage-test-{}", std::process::id()));
    let mut directory = FileDirectory::open(&path)?;
    let (mut store, before) = open(&mut directory);
    for version in 1..=4_u8 {
        store.save(&mut directory, &[version]).unwrap();
    }
    let mut again = FileDirectory::open(&path)?;
    let record = open(&mut again).1;
    let files = again.list()?.len();
    std::fs::remove_dir_all(&path)?;
    assert_eq!((before, record, files), (None, Some(vec![4]), 2));
    Ok(())
}

/// An operation on the store, or a fault of the directory.
#[derive(Debug, Clone)]
enum Event {
    Save { length: usize },
    SaveInterrupted { length: usize, steps: u32, power: bool },
    RejectWrites(bool),
    Capacity(Option<usize>),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..200_usize).prop_map(|length| Event::Save { length }),
        4 => (0..200_usize, 0..8_u32, any::<bool>())
            .prop_map(|(length, steps, power)| Event::SaveInterrupted { length, steps, power }),
        1 => any::<bool>().prop_map(Event::RejectWrites),
        1 => proptest::option::of(100..800_usize).prop_map(Event::Capacity),
    ]
}

/// A record that contains its number.
fn record(number: u32, length: usize) -> Vec<u8> {
    [number.to_be_bytes().as_slice(), &vec![number as u8; length]].concat()
}

fn number(record: Option<Vec<u8>>) -> u32 {
    record.map_or(0, |record| u32::from_be_bytes(record[..4].try_into().unwrap()))
}

proptest! {
    #[test]
    fn what_was_saved_survives_any_crash(events in vec(event(), 1..40), seed in any::<u64>()) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut directory = SimulatedDirectory::new();
        let (mut store, _) = open(&mut directory);
        let (mut saved, mut last) = (0, 0);
        for event in events {
            last += 1;
            match event {
                Event::Save { length } => {
                    if store.save(&mut directory, &record(last, length)).is_ok() {
                        saved = last;
                    }
                }
                Event::SaveInterrupted { length, steps, power } => {
                    directory.operations_until_crash = Some(steps);
                    if store.save(&mut directory, &record(last, length)).is_ok() {
                        saved = last;
                    }
                    directory.operations_until_crash = None;
                    if power {
                        directory.lose_power(&mut random);
                    }
                    let (opened, found) = open(&mut directory);
                    store = opened;
                    let found = number(found);
                    prop_assert!((saved..=last).contains(&found), "found {found}, saved {saved}, tried {last}");
                    saved = found;
                }
                Event::RejectWrites(rejects) => directory.rejects_writes = rejects,
                Event::Capacity(capacity) => directory.capacity = capacity,
            }
        }
        let found = number(open(&mut directory).1);
        prop_assert!((saved..=last).contains(&found));
    }
}
