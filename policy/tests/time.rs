//! Numbers of others that become spans of time, and addresses that others name.

use std::{net::SocketAddr, time::Duration};

use clementinearch_policy::{
    addresses::check_address,
    time::{MAX_SPAN, Millis, nearest_span, span_from_millis, span_from_secs},
};

const YEAR_S: f64 = 365.0 * 24.0 * 3_600.0;

#[test]
fn a_number_that_is_no_span_of_time_is_an_error() {
    let odd = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -1.0,
        -1e-3,
        -1e300,
        YEAR_S + 1.0,
        1e19,
        1e300,
        f64::MAX,
    ];
    for number in odd {
        let why = span_from_secs(number).unwrap_err();
        assert!(why.contains("no span of time"), "{number}: {why}");
        span_from_millis(number * 1_000.0).unwrap_err();
    }
}

#[test]
fn a_span_of_up_to_a_year_is_read_as_it_is() {
    assert_eq!(span_from_secs(0.0), Ok(Duration::ZERO));
    assert_eq!(span_from_secs(-0.0), Ok(Duration::ZERO));
    assert_eq!(span_from_secs(1.5), Ok(Duration::from_millis(1_500)));
    assert_eq!(span_from_millis(0.5), Ok(Duration::from_micros(500)));
    assert_eq!(span_from_secs(YEAR_S), Ok(MAX_SPAN));
}

#[test]
fn a_computed_number_gives_the_nearest_span() {
    for (number, span) in [
        (f64::NAN, Duration::ZERO),
        (-1.0, Duration::ZERO),
        (2.0, Duration::from_secs(2)),
        (1e300, MAX_SPAN),
        (f64::INFINITY, MAX_SPAN),
    ] {
        assert_eq!(nearest_span(number), span, "{number}");
    }
}

#[test]
fn no_time_is_after_the_last() {
    let last = Millis(u64::MAX);
    assert_eq!(Millis(7).after(Duration::MAX), last);
    assert_eq!(last.after(Duration::from_secs(1)), last);
}

#[test]
fn an_address_at_which_no_one_host_listens_is_an_error() {
    let odd = [
        "127.0.0.1:0",
        "0.0.0.0:80",
        "[::]:80",
        "224.0.0.1:80",
        "239.255.255.255:80",
        "[ff02::1]:80",
        "255.255.255.255:80",
    ];
    for address in odd {
        let address: SocketAddr = address.parse().unwrap();
        check_address(address).unwrap_err();
    }
    for address in [
        "127.0.0.1:80",
        "10.0.0.255:65535",
        "[::1]:80",
        "[fe80::1]:1",
    ] {
        let address: SocketAddr = address.parse().unwrap();
        assert_eq!(check_address(address), Ok(address));
    }
}
