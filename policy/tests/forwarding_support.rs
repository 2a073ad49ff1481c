//! What a host knows of whether a peer serves forwarded requests.

use clementinearch_policy::{forwarding_support::ForwardingSupport, time::Millis};

const NOW: Millis = Millis(1_000_000);

fn after_s(seconds: u64) -> Millis {
    Millis(NOW.0 + seconds * 1_000)
}

#[test]
fn a_peer_that_says_nothing_may_be_asked() {
    let mut support = ForwardingSupport::default();
    support.record_report(false);
    assert!(!support.is_known());
    assert!(support.is_possible(NOW));
}

#[test]
fn a_peer_that_has_shown_it_is_known_for_as_long_as_it_says_nothing() {
    let mut support = ForwardingSupport::default();
    support.record_answer(true, NOW);
    for _ in 0..10 {
        support.record_report(false);
    }
    assert!(support.is_known() && support.is_possible(after_s(3_600)));
}

#[test]
fn a_peer_that_knew_no_forwarding_is_not_asked_again_for_a_minute() {
    let mut support = ForwardingSupport::default();
    support.record_answer(false, NOW);
    for seconds in 0..60 {
        support.record_report(false);
        assert!(!support.is_possible(after_s(seconds)), "{seconds} s");
    }
    assert!(support.is_possible(after_s(60)));
    assert!(!support.is_known());
}

#[test]
fn a_replaced_peer_is_known_by_its_first_report() {
    let mut support = ForwardingSupport::default();
    support.record_answer(false, NOW);
    support.record_report(true);
    assert!(support.is_known() && support.is_possible(NOW));
}

#[test]
fn a_peer_that_stops_saying_so_is_asked_anew() {
    let mut support = ForwardingSupport::default();
    support.record_report(true);
    support.record_answer(true, NOW);
    support.record_report(false);
    assert_eq!(support, ForwardingSupport::Unknown);
}

/// The last report of the version before may arrive, or count, for a while after the replacement.
#[test]
fn an_answer_counts_more_than_the_report_before_it() {
    let mut support = ForwardingSupport::default();
    support.record_report(true);
    support.record_answer(false, NOW);
    assert!(!support.is_possible(NOW));
    support.record_report(false);
    assert!(!support.is_possible(NOW));
}
