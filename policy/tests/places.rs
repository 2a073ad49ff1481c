//! How places at servers are dealt to hosts.

use std::time::Duration;

use clementinearch_policy::{
    places::{parse_refusal_limit, pause_until, places, unplaced_interval},
    time::Millis,
};

#[test]
fn each_slot_goes_to_one_host_and_each_host_gets_an_equal_part() {
    for (servers, slots, hosts) in [
        (4, 6, 7),
        (18, 32, 7),
        (45, 6, 79),
        (180, 6, 320),
        (3, 6, 79),
    ] {
        let slots = vec![slots; servers];
        let all: Vec<Vec<u32>> = (0..hosts).map(|rank| places(&slots, rank, hosts)).collect();
        for (server, slots) in slots.iter().enumerate() {
            let dealt: u32 = all.iter().map(|own| own[server]).sum();
            assert_eq!(dealt, *slots);
        }
        let totals: Vec<u32> = all.iter().map(|own| own.iter().sum()).collect();
        let (least, most) = (totals.iter().min().unwrap(), totals.iter().max().unwrap());
        assert!(most - least <= 1, "{hosts} hosts: {least} to {most}");
    }
}

#[test]
fn hosts_without_a_place_cause_at_most_half_of_the_refusals() {
    for (limit, hosts) in [(6.0, 79), (20.0, 320)] {
        let rate = hosts as f64 / unplaced_interval(limit, hosts).as_secs_f64();
        assert!(rate <= limit / 2.0 + 0.001, "{rate}");
    }
}

#[test]
fn hosts_that_were_turned_away_stay_below_the_limit_together() {
    let now = Millis(1_000_000);
    for (limit, hosts) in [(6.0, 7), (20.0, 7), (6.0, 320)] {
        let pause = pause_until(limit, hosts, now).since(now);
        let refusals = hosts as f64 / pause.as_secs_f64();
        assert!(refusals <= limit, "{refusals} a second");
        assert!(pause >= Duration::from_secs(1));
    }
}

#[test]
fn only_numbers_from_zero_on_are_limits_of_refusals() {
    assert_eq!(parse_refusal_limit(" 12 "), Some(12.0));
    for text in ["", "-1", "few", "NaN"] {
        assert_eq!(parse_refusal_limit(text), None, "{text:?}");
    }
}
