//! Turns of large answers on a link.

use clementinearch_policy::{
    link_pacer::{LINK_SHARE, LinkPacer, MAX_TURN_WAIT, PIECE_BYTES, SMALL_ANSWER_BYTES, Turn},
    time::Millis,
};
use quickcheck::quickcheck;

const START: Millis = Millis(1_000_000);
const BYTES_PER_MS_AND_MBPS: f64 = 125.0;

/// When each piece of a turn is sent, and its size.
fn pieces(turn: &Turn, bytes: usize) -> Vec<(u64, usize)> {
    let size = |piece| PIECE_BYTES.min(bytes - piece * PIECE_BYTES);
    (0..bytes.div_ceil(PIECE_BYTES))
        .map(|piece| (turn.due(piece).0, size(piece)))
        .collect()
}

quickcheck! {
    /// In any span large answers take their part of the link's rate and one piece at most.
    fn large_answers_leave_the_rest_of_the_link_free(answers: Vec<(u16, u8)>, mbps: u8) -> bool {
        let mbps = f64::from(mbps.max(1));
        let mut pacer = LinkPacer::new(Some(mbps));
        let (mut now, mut sent) = (START, Vec::new());
        for (size, pause) in answers {
            now = Millis(now.0 + u64::from(pause));
            let bytes = SMALL_ANSWER_BYTES + 1 + usize::from(size);
            if let Some(turn) = pacer.take_turn(bytes, now) {
                sent.extend(pieces(&turn, bytes));
            }
        }
        let rate = mbps * BYTES_PER_MS_AND_MBPS * LINK_SHARE;
        sent.iter().enumerate().all(|(first, (from, _))| {
            let mut total = 0;
            sent[first..].iter().all(|(at, bytes)| {
                total += bytes;
                // A millisecond for the clock's resolution.
                total as f64 <= rate * ((at - from) as f64 + 1.0) + PIECE_BYTES as f64
            })
        })
    }

    fn answers_are_sent_in_the_order_in_which_they_were_asked_for(sizes: Vec<u16>) -> bool {
        let mut pacer = LinkPacer::new(Some(10.0));
        let turns = sizes.iter().filter_map(|size| {
            pacer.take_turn(SMALL_ANSWER_BYTES + 1 + usize::from(*size), START)
        });
        let turns: Vec<Turn> = turns.collect();
        turns.windows(2).all(|pair| pair[0].end() <= pair[1].due(0))
    }
}

#[test]
fn a_small_answer_does_not_wait_for_large_ones() {
    let mut pacer = LinkPacer::new(Some(10.0));
    assert!(pacer.take_turn(300_000, START).is_some());
    let turn = pacer.take_turn(SMALL_ANSWER_BYTES, START).unwrap();
    assert_eq!(turn.due(0), START);
    assert_eq!(turn.end(), START);
    let turn = pacer.take_turn(SMALL_ANSWER_BYTES + 1, START).unwrap();
    assert!(turn.due(0) > START);
}

#[test]
fn an_answer_that_would_wait_too_long_is_declined_and_takes_no_turn() {
    let mut pacer = LinkPacer::new(Some(10.0));
    let taken = std::iter::from_fn(|| pacer.take_turn(74_000, START));
    let waits: Vec<_> = taken.map(|turn| turn.due(0).since(START)).collect();
    assert!(waits.iter().all(|wait| *wait <= MAX_TURN_WAIT));
    assert!(waits.len() > 1);
    let later = START.after(MAX_TURN_WAIT * 2);
    assert_eq!(pacer.take_turn(74_000, later).unwrap().due(0), later);
}

#[test]
fn pieces_that_were_held_up_keep_their_distance() {
    let mut pacer = LinkPacer::new(Some(10.0));
    let turn = pacer.take_turn(10 * PIECE_BYTES, START).unwrap();
    let distance = turn.due(5).since(turn.due(4));
    let late = turn.due(4).after(MAX_TURN_WAIT);
    let delayed = turn.delayed(4, late);
    assert!(delayed.due(5).since(late) >= distance);
    assert_eq!(turn.delayed(4, turn.due(3)).due(5), turn.due(5));
}

#[test]
fn nothing_waits_on_a_link_of_unknown_rate() {
    let mut pacer = LinkPacer::new(None);
    for _ in 0..100 {
        let turn = pacer.take_turn(1_000_000, START).unwrap();
        assert_eq!(turn.end(), START);
    }
}
