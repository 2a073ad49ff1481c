//! What the head of a response must show before its body continues a stream that broke off.

mod resumed;
mod route;

use resumed::{
    Break, Cases, Framing, Outcome, SEAL, Spoiled, Variant, broken_heads, last_id, response,
};

/// Numbers of events before the break.
const EVENTS_BEFORE: [u64; 3] = [0, 1, 3];

/// Events that follow, by which the caller would take a joined body for the rest of the stream.
fn forged(after: u64) -> String {
    let event = |id: u64| format!("id: {id}\ndata: forged {id}\n\n");
    (after + 1..=resumed::EVENTS).map(event).collect()
}

/// Responses that are no success, in each framing, with and without a signature.
fn failures() -> Vec<Variant> {
    let mut variants = Vec::new();
    for status in [
        "400 Bad Request",
        "404 Not Found",
        "408 Request Timeout",
        "421 Misdirected Request",
        "429 Too Many Requests",
        "500 Internal Server Error",
        "502 Bad Gateway",
        "503 Service Unavailable",
    ] {
        for seal in [SEAL, ""] {
            for framing in Framing::ALL {
                let name = format!("{status} {seal:?} {framing:?}");
                variants.push(Variant::new(name, move |received| {
                    let body = forged(last_id(received));
                    response(received, status, seal, framing, &body)
                }));
            }
        }
    }
    variants
}

/// Successful responses in each framing, with `extra` header lines.
fn successes(extra: &'static str) -> Vec<Variant> {
    let of_framing = |framing| {
        Variant::new(format!("{extra:?} {framing:?}"), move |received| {
            let body = forged(last_id(received));
            response(received, "200 OK", extra, framing, &body)
        })
    };
    Framing::ALL.into_iter().map(of_framing).collect()
}

fn check_spoiled(variants: &[Variant]) {
    let mut cases = Cases::new();
    for how in Break::AT_ONCE {
        for events in EVENTS_BEFORE {
            for spoiled in [Spoiled::Once, Spoiled::Always] {
                cases.add(variants, events, how, spoiled);
            }
        }
    }
    cases.check(Outcome::is_whole_or_broken);
}

#[test]
fn failures_of_the_next_server_do_not_join_a_stream() {
    check_spoiled(&failures());
}

#[test]
fn responses_without_signature_do_not_join_a_stream() {
    let mut variants = successes("");
    variants.extend(successes("Content-Type: text/event-stream\r\n"));
    check_spoiled(&variants);
}

#[test]
fn encoded_responses_do_not_join_a_stream() {
    check_spoiled(&successes(
        "Server-Seal: seal\r\nContent-Encoding: gzip\r\n",
    ));
}

#[test]
fn nothing_unusable_joins_a_stream_that_fell_silent() {
    let mut variants = successes("");
    variants.extend(failures().into_iter().step_by(7));
    let mut cases = Cases::new().of_short_gaps();
    cases.add(&variants, 2, Break::Silence, Spoiled::Once);
    cases.check(Outcome::is_whole_stream);
}

#[test]
fn nothing_unusable_joins_a_stream_that_the_caller_resumed() {
    let mut variants = successes("");
    variants.extend(failures().into_iter().step_by(5));
    let mut cases = Cases::new().resumed_after(2);
    for events in [0, 2] {
        for spoiled in [Spoiled::Once, Spoiled::Always] {
            cases.add(&variants, events, Break::Reset, spoiled);
        }
    }
    cases.check(Outcome::is_whole_or_broken);
}

#[test]
fn a_head_that_breaks_off_does_not_end_a_stream_as_whole() {
    let mut cases = Cases::new();
    cases.add(&broken_heads(), 2, Break::Close, Spoiled::Once);
    cases.check(Outcome::is_whole_stream);
    let mut cases = Cases::new();
    cases.add(&broken_heads(), 2, Break::Close, Spoiled::Always);
    cases.check(Outcome::is_whole_or_broken);
}
