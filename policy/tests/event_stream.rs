//! Streams are cut into whole events wherever their bytes happen to be split.

use clementinearch_policy::event_stream::{EventSplitter, MAX_EVENT_BYTES, StreamError};
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

#[test]
fn a_part_of_an_event_is_held_until_it_is_whole() {
    let mut cutter = EventSplitter::new(None);
    let first = event(1);
    let split = first.len() - 1;
    assert_eq!(cutter.push(&first.as_bytes()[..split]).unwrap(), b"");
    assert!(!cutter.is_at_boundary());
    assert_eq!(cutter.last_id(), None);
    let rest = [&first.as_bytes()[split..], b"id: 2\nda"].concat();
    assert_eq!(cutter.push(&rest).unwrap(), first.as_bytes());
    assert_eq!(cutter.last_id(), Some(1));
    assert!(!cutter.is_at_boundary());
}

#[test]
fn a_stream_that_goes_on_counts_from_the_event_before() {
    let mut cutter = EventSplitter::new(Some(12));
    assert_eq!(cutter.last_id(), Some(12));
    cutter
        .push(b"weight-versions: 3\nid: 13\ndata: x\n\n")
        .unwrap();
    assert_eq!(cutter.last_id(), Some(13));
    assert_eq!(cutter.events(), 1);
}

#[test]
fn a_run_that_begins_anew_is_not_joined_to_the_one_before() {
    let mut cutter = EventSplitter::new(Some(2));
    assert_eq!(
        cutter.push(event(1).as_bytes()),
        Err(StreamError::OutOfOrder)
    );
    let mut cutter = EventSplitter::new(None);
    let doubled = event(1) + &event(1);
    assert_eq!(
        cutter.push(doubled.as_bytes()),
        Err(StreamError::OutOfOrder)
    );
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut cutter = EventSplitter::new(None);
    let whole = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(cutter.push(whole).unwrap(), whole);
    assert_eq!(cutter.last_id(), Some(7));
    assert!(cutter.is_at_boundary());
}

#[test]
fn an_event_without_end_is_not_held_for_ever() {
    let mut cutter = EventSplitter::new(None);
    let flood = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(cutter.push(&flood), Err(StreamError::EventTooLarge));
}

quickcheck! {
    fn nothing_is_lost_or_doubled_wherever_the_bytes_are_split(events: u8, splits: Vec<u16>) -> bool {
        let events = u64::from(events % 20);
        let whole: String = (1..=events).map(event).collect();
        let bytes = whole.as_bytes();
        let mut ends: Vec<usize> = splits
            .iter()
            .map(|split| usize::from(*split) % (bytes.len() + 1))
            .collect();
        ends.push(bytes.len());
        ends.sort_unstable();
        let mut cutter = EventSplitter::new(None);
        let mut passed_on = Vec::new();
        let mut begin = 0;
        for end in ends {
            passed_on.extend(cutter.push(&bytes[begin..end]).unwrap());
            begin = end;
        }
        passed_on == bytes && cutter.is_at_boundary() && cutter.events() == events
    }
}
