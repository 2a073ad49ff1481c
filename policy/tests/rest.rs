//! Which times of rest are kept.

use std::time::Duration;

use clementinearch_policy::rest::{MAX_REST, parse_rest};

#[test]
fn positive_numbers_of_seconds_are_times_of_rest() {
    assert_eq!(parse_rest("3"), Some(Duration::from_secs(3)));
    assert_eq!(parse_rest(" 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(parse_rest("31536000"), Some(MAX_REST));
    assert_eq!(parse_rest("1e300"), Some(MAX_REST));
}

#[test]
fn what_is_no_positive_number_is_no_time_of_rest() {
    for text in [
        "",
        "0",
        "-1",
        "soon",
        "NaN",
        "inf",
        "Fri, 04 Dec 2026 17:00:00 GMT",
    ] {
        assert_eq!(parse_rest(text), None, "{text:?}");
    }
}
