//! Shares of the memory for bodies: what one owner may hold, and what is left for the others.

use clementinearch_policy::memory_shares::{
    BodyOwner, MemoryShares, SMALL_BODY_BYTES, body_memory,
};

const LIMIT: usize = 36 << 20;

/// Bytes by which a body grows in these tests.
const STEP: usize = 64 << 10;

fn server(service: &str, number: usize) -> BodyOwner {
    BodyOwner::Server {
        service: service.into(),
        server: format!("i-{number}").into(),
    }
}

/// Grows a body as far as it gets. Returns its size.
fn grow(shares: &mut MemoryShares, owner: &BodyOwner) -> usize {
    let mut held = 0;
    while shares.take(owner, held, STEP) {
        held += STEP;
    }
    held
}

#[test]
fn one_server_alone_gets_the_largest_body_that_is_promised() {
    for owner in [server("pool", 1), BodyOwner::Callers] {
        let mut shares = MemoryShares::new(LIMIT);
        let largest = shares.largest_body(&owner);
        let held = grow(&mut shares, &owner);
        assert!(
            held <= largest && held + STEP > largest,
            "{held} of {largest}"
        );
    }
}

#[test]
fn a_host_of_110_mb_holds_the_largest_answer() {
    let shares = MemoryShares::new(body_memory(110_000_000));
    assert!(shares.largest_body(&server("pool", 1)) >= 8 << 20);
}

#[test]
fn a_service_leaves_half_of_the_memory_to_others() {
    let mut shares = MemoryShares::new(LIMIT);
    for number in 0..50 {
        // The part that any small body gets is taken from the half of the others.
        let held = grow(&mut shares, &server("pool", number));
        assert!(held >= SMALL_BODY_BYTES);
    }
    assert!(shares.held() <= LIMIT / 2 + 50 * SMALL_BODY_BYTES);
    assert!(grow(&mut shares, &server("orders", 1)) >= LIMIT / 16);
    assert!(grow(&mut shares, &BodyOwner::Callers) >= LIMIT / 16);
}

#[test]
fn all_together_never_hold_more_than_the_limit() {
    let mut shares = MemoryShares::new(LIMIT);
    for number in 0..2_000 {
        grow(
            &mut shares,
            &server(&format!("service-{}", number % 40), number),
        );
        assert!(shares.held() <= LIMIT);
    }
    assert!(!shares.take(&BodyOwner::Callers, 0, LIMIT));
}

#[test]
fn what_is_given_back_can_be_taken_again() {
    let mut shares = MemoryShares::new(LIMIT);
    let owner = server("pool", 1);
    let held = grow(&mut shares, &owner);
    assert_eq!(shares.largest(3), [(owner.clone(), held)]);
    shares.give_back(&owner, held);
    assert_eq!(shares.held(), 0);
    assert!(shares.largest(3).is_empty());
    assert_eq!(grow(&mut shares, &owner), held);
}
