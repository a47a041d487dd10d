//! Subscribers of the change feed resume from their position, or start with a snapshot.

use lanegate_coordination::feed::{Journal, Position, Start};

fn journal() -> Journal<u32> {
    let mut journal = Journal::new(7, 3);
    (0..5).for_each(|change| {
        journal.append(change);
    });
    journal
}

#[test]
fn a_subscriber_within_the_journal_resumes_from_its_offset() {
    let journal = journal();
    let start = journal.start(Position { source: 7, offset: 3 });
    assert_eq!(start, Start::Tail { from: 3 });
    assert_eq!(journal.tail(3).copied().collect::<Vec<_>>(), vec![3, 4]);
}

#[test]
fn a_subscriber_at_the_end_needs_no_changes() {
    let journal = journal();
    assert_eq!(journal.start(journal.end()), Start::Tail { from: 5 });
    assert_eq!(journal.tail(5).count(), 0);
}

#[test]
fn a_subscriber_of_another_incarnation_or_outside_the_journal_gets_a_snapshot() {
    let journal = journal();
    for position in [(6, 3), (7, 1), (7, 6), (0, 0)] {
        let position = Position { source: position.0, offset: position.1 };
        assert_eq!(journal.start(position), Start::Snapshot, "{position:?}");
    }
}
