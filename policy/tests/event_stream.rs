//! Streams are split into complete events, wherever the chunk boundaries are.

use clementinearch_policy::event_stream::{EventSplitter, MAX_EVENT_BYTES, StreamError};
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

#[test]
fn a_partial_event_is_held_until_it_is_complete() {
    let mut splitter = EventSplitter::new(None);
    let first = event(1);
    let split = first.len() - 1;
    assert_eq!(splitter.push(&first.as_bytes()[..split]).unwrap(), b"");
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), None);
    let rest = [&first.as_bytes()[split..], b"id: 2\nda"].concat();
    assert_eq!(splitter.push(&rest).unwrap(), first.as_bytes());
    assert_eq!(splitter.last_id(), Some(1));
    assert!(!splitter.is_at_boundary());
}

#[test]
fn a_resumed_stream_continues_from_the_previous_event() {
    let mut splitter = EventSplitter::new(Some(12));
    assert_eq!(splitter.last_id(), Some(12));
    splitter
        .push(b"weight-versions: 3\nid: 13\ndata: x\n\n")
        .unwrap();
    assert_eq!(splitter.last_id(), Some(13));
    assert_eq!(splitter.events(), 1);
}

#[test]
fn a_restarted_answer_is_not_joined_to_the_previous_one() {
    let mut splitter = EventSplitter::new(Some(2));
    assert_eq!(
        splitter.push(event(1).as_bytes()),
        Err(StreamError::OutOfOrder)
    );
    let mut splitter = EventSplitter::new(None);
    let doubled = event(1) + &event(1);
    assert_eq!(
        splitter.push(doubled.as_bytes()).unwrap(),
        event(1).as_bytes()
    );
    assert_eq!(splitter.failure(), Some(StreamError::OutOfOrder));
    assert_eq!(
        splitter.push(event(2).as_bytes()),
        Err(StreamError::OutOfOrder)
    );
}

#[test]
fn events_before_one_out_of_order_are_returned_in_the_same_packet() {
    let mut splitter = EventSplitter::new(Some(2));
    let packet = event(3) + &event(4) + &event(1);
    assert_eq!(
        splitter.push(packet.as_bytes()).unwrap(),
        (event(3) + &event(4)).as_bytes()
    );
    assert_eq!((splitter.last_id(), splitter.events()), (Some(4), 2));
    assert_eq!(splitter.failure(), Some(StreamError::OutOfOrder));
    assert_eq!(
        splitter.push(event(5).as_bytes()),
        Err(StreamError::OutOfOrder)
    );
    assert_eq!(splitter.last_id(), Some(4));
}

#[test]
fn text_that_is_no_numbered_event_is_refused() {
    for text in [
        "upstream connect error\n\n",
        "{\"error\":\"overloaded\"}\n\n",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "event: error\ndata: overloaded\n\n",
        "data: overloaded\n\n",
        "id: x\ndata: overloaded\n\n",
        "id: -1\ndata: overloaded\n\n",
        "id:\ndata: overloaded\n\n",
        "id\ndata: overloaded\n\n",
        "id: 2\ndata: a\nid: 3\ndata: b\n\n",
    ] {
        let mut splitter = EventSplitter::new(Some(1));
        let pushed = splitter.push(text.as_bytes());
        assert_eq!(pushed, Err(StreamError::Unnumbered), "{text:?}");
        assert_eq!((splitter.last_id(), splitter.events()), (Some(1), 0));
    }
}

#[test]
fn comments_are_no_events() {
    let mut splitter = EventSplitter::new(None);
    let events = event(1) + ": waiting\n\nretry: 500\n\n\n\n: next\nid: 2\ndata: x\n\n";
    assert_eq!(splitter.push(events.as_bytes()).unwrap(), events.as_bytes());
    assert_eq!((splitter.last_id(), splitter.events()), (Some(2), 2));
}

#[test]
fn comments_wait_for_the_first_event() {
    let mut splitter = EventSplitter::new(Some(1));
    assert_eq!(splitter.push(b": waiting\n\n").unwrap(), b"");
    assert_eq!(splitter.push(b"retry: 5\n\n: still\n\n").unwrap(), b"");
    assert_eq!((splitter.last_id(), splitter.events()), (Some(1), 0));
    let first = ": waiting\n\nretry: 5\n\n: still\n\n".to_owned() + &event(2);
    let pushed = splitter.push(event(2).as_bytes()).unwrap();
    assert_eq!(pushed, first.as_bytes());
    assert_eq!(splitter.push(b": waiting\n\n").unwrap(), b": waiting\n\n");
    let mut splitter = EventSplitter::new(None);
    let spoiled = splitter.push(b": waiting\n\ndata: overloaded\n\n");
    assert_eq!(spoiled, Err(StreamError::Unnumbered));
    let mut splitter = EventSplitter::new(None);
    let flood = ": waiting\n\n".repeat(MAX_EVENT_BYTES / 10);
    assert_eq!(
        splitter.push(flood.as_bytes()),
        Err(StreamError::EventTooLarge)
    );
}

#[test]
fn ids_may_have_gaps() {
    let mut splitter = EventSplitter::new(Some(5));
    let events = event(10) + &event(20);
    assert_eq!(splitter.push(events.as_bytes()).unwrap(), events.as_bytes());
    assert_eq!((splitter.last_id(), splitter.events()), (Some(20), 2));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::new(None);
    let complete = b"id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(splitter.push(complete).unwrap(), complete);
    assert_eq!(splitter.last_id(), Some(7));
    assert!(splitter.is_at_boundary());
}

#[test]
fn an_oversized_event_is_rejected() {
    let mut splitter = EventSplitter::new(None);
    let flood = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(splitter.push(&flood), Err(StreamError::EventTooLarge));
}

quickcheck! {
    fn no_byte_is_lost_or_duplicated_wherever_the_stream_is_split(events: u8, splits: Vec<u16>) -> bool {
        let events = u64::from(events % 20);
        let complete: String = (1..=events).map(event).collect();
        let bytes = complete.as_bytes();
        let mut ends: Vec<usize> = splits
            .iter()
            .map(|split| usize::from(*split) % (bytes.len() + 1))
            .collect();
        ends.push(bytes.len());
        ends.sort_unstable();
        let mut splitter = EventSplitter::new(None);
        let mut passed_on = Vec::new();
        let mut begin = 0;
        for end in ends {
            passed_on.extend(splitter.push(&bytes[begin..end]).unwrap());
            begin = end;
        }
        passed_on == bytes && splitter.is_at_boundary() && splitter.events() == events
    }
}
