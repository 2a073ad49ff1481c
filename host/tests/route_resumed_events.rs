//! Which bytes of a signed and successful response may continue a stream that broke off.

mod resumed;
mod route;

use resumed::{Break, Cases, EVENTS, Outcome, Spoiled, Variant, events};

/// Text of a server or proxy that failed.
const ERROR_TEXT: &str = "upstream connect error";

/// Body of a failure, as JSON.
const ERROR_JSON: &str = "{\"error\":{\"code\":\"overloaded\"}}";

/// A whole response within the body of another one.
const INNER_RESPONSE: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 24\r\n\r\nupstream connect error\n\n";

/// Returns the event with this number.
type Format = fn(u64) -> String;

/// The events that follow, up to the last one.
fn rest(after: u64) -> String {
    events(after + 1..=EVENTS)
}

fn half(id: u64) -> String {
    let event = events(id..=id);
    event[..event.len() / 2].to_owned()
}

/// Plays each variant after breaks of each kind, before the first event, after one and after several.
fn check_spoiled(variants: &[Variant]) {
    let mut cases = Cases::new();
    for how in [Break::Reset, Break::EndInsideEvent] {
        for events in [0, 1, 3] {
            for spoiled in [Spoiled::Once, Spoiled::Always] {
                cases.add(variants, events, how, spoiled);
            }
        }
    }
    cases.check(Outcome::is_whole_or_broken);
}

#[test]
fn text_of_an_error_does_not_join_a_stream() {
    let mut variants = Vec::new();
    for text in [ERROR_TEXT, ERROR_JSON, INNER_RESPONSE] {
        for end in ["", "\n", "\n\n", "\r\n\r\n"] {
            let body = format!("{text}{end}");
            variants.extend(Variant::of_body(&format!("{body:?}"), move |_| {
                body.clone()
            }));
        }
        let body = format!("{text}\n\n");
        variants.extend(Variant::of_body(&format!("{body:?}, then the rest"), {
            let body = body.clone();
            move |after| body.clone() + &rest(after)
        }));
    }
    check_spoiled(&variants);
}

#[test]
fn events_without_number_do_not_join_a_stream() {
    let mut variants = Vec::new();
    for event in [
        "event: error\ndata: {\"code\":\"overloaded\"}\n\n",
        "data: overloaded\n\n",
        "event: error\n\n",
        "id: x\ndata: overloaded\n\n",
        "id:\ndata: overloaded\n\n",
        "id\ndata: overloaded\n\n",
    ] {
        variants.extend(Variant::of_body(&format!("{event:?}"), move |_| {
            event.to_owned()
        }));
        variants.extend(Variant::of_body(
            &format!("{event:?}, then the rest"),
            move |after| event.to_owned() + &rest(after),
        ));
    }
    check_spoiled(&variants);
}

#[test]
fn events_that_do_not_follow_do_not_join_a_stream() {
    let mut variants = Variant::of_body("from the start", |_| events(1..=EVENTS));
    variants.extend(Variant::of_body("the last one again", |after| {
        events(after..=EVENTS)
    }));
    variants.extend(Variant::of_body("an earlier one", |after| {
        events(after.saturating_sub(1)..=EVENTS)
    }));
    variants.extend(Variant::of_body("two numbers in one event", |after| {
        format!(
            "id: {}\ndata: one\nid: {}\ndata: two\n\n",
            after + 1,
            after + 2
        )
    }));
    let mut cases = Cases::new();
    for how in [Break::Reset, Break::EndInsideEvent] {
        for events in [1, 3] {
            for spoiled in [Spoiled::Once, Spoiled::Always] {
                cases.add(&variants, events, how, spoiled);
            }
        }
    }
    cases.check(Outcome::is_whole_or_broken);
}

/// Plays variants that add one event to the stream before bytes that are unusable: that event belongs
/// to the stream, once and in order.
fn check_one_event_added(variants: &[Variant]) {
    let mut cases = Cases::new();
    for how in [Break::Close, Break::EndInsideEvent] {
        for events in [0, 1, 3] {
            for spoiled in [Spoiled::Once, Spoiled::Always] {
                cases.add(variants, events, how, spoiled);
            }
        }
    }
    cases.check(|outcome| match outcome.spoiled {
        Spoiled::AtOnce | Spoiled::Once => outcome.is_whole_stream(),
        // The route allows three attempts.
        Spoiled::Always => {
            let answer = &outcome.answer;
            let expected = events(1..=outcome.events + 2);
            answer.status == 200 && !answer.is_whole && answer.body == expected
        }
    });
}

/// One event that follows, then `spoiled`, alone and with the rest after it.
fn one_event_before(spoiled: &'static str) -> Vec<Variant> {
    let mut variants = Variant::of_body(&format!("{spoiled:?}"), move |after| {
        events(after + 1..=after + 1) + spoiled
    });
    variants.extend(Variant::of_body(
        &format!("{spoiled:?}, then the rest"),
        move |after| events(after + 1..=after + 1) + spoiled + &rest(after + 1),
    ));
    variants
}

#[test]
fn events_before_one_out_of_order_are_kept() {
    let mut variants = one_event_before("id: 1\ndata: again\n\n");
    variants.extend(one_event_before("id: 0\ndata: none\n\n"));
    check_one_event_added(&variants);
}

#[test]
fn events_before_text_of_an_error_are_kept() {
    let mut variants = Vec::new();
    for spoiled in [
        "event: error\ndata: overloaded\n\n",
        "upstream connect error\n\n",
        INNER_RESPONSE,
    ] {
        variants.extend(one_event_before(spoiled));
    }
    variants.extend(Variant::of_body("half an event", |after| {
        events(after + 1..=after + 1) + &half(after + 2)
    }));
    check_one_event_added(&variants);
}

/// A stream that holds nothing but comments has no events.
#[test]
fn comments_alone_are_no_stream() {
    let variants = Variant::of_body("comments", |_| ": waiting\n\n: waiting\n\n".to_owned());
    let mut cases = Cases::new();
    cases.add(&variants, 0, Break::Close, Spoiled::Once);
    cases.add(&variants, 0, Break::Close, Spoiled::Always);
    cases.check(Outcome::is_whole_or_broken);
}

/// Formats of events that the field's standard allows go on unchanged.
#[test]
fn what_sound_servers_send_goes_on() {
    let with = |name: &'static str, form: Format| {
        Variant::of_body(name, move |after| (after + 1..=EVENTS).map(form).collect())
    };
    let formats: [(&'static str, Format); 8] = [
        ("comments", |id| {
            format!(": waiting\n\nid: {id}\ndata: x\n\n")
        }),
        ("a comment in an event", |id| {
            format!(": waiting\nid: {id}\ndata: x\n\n")
        }),
        ("the time to reconnect", |id| {
            format!("retry: 500\n\nid: {id}\ndata: x\n\n")
        }),
        ("another field first", |id| {
            format!("weight-versions: 3\nid: {id}\ndata: x\n\n")
        }),
        ("a type", |id| {
            format!("event: token\nid: {id}\ndata: x\n\n")
        }),
        ("carriage returns", |id| {
            format!("id: {id}\r\ndata: x\r\n\r\n")
        }),
        ("blank lines", |id| format!("id: {id}\ndata: x\n\n\n\n")),
        ("numbers with gaps", |id| {
            format!("id: {}\ndata: x\n\n", id * 5)
        }),
    ];
    for (name, form) in formats {
        let mut cases = Cases::new();
        cases.add(&with(name, form), 2, Break::Close, Spoiled::Always);
        cases.check(|outcome| {
            let added: String = (3..=EVENTS).map(form).collect();
            let answer = &outcome.answer;
            answer.is_whole && answer.body == events(1..=2) + &added
        });
    }
}

/// The first server may break off between its last event and its end.
#[test]
fn a_stream_that_breaks_off_after_its_last_event_is_complete() {
    let variants = Variant::of_body("nothing left", rest);
    let mut cases = Cases::new();
    for how in [Break::Close, Break::InsideEvent] {
        cases.add(&variants, EVENTS, how, Spoiled::Always);
    }
    cases.check(Outcome::is_whole_stream);
    let mut cases = Cases::new().resumed_after(2);
    cases.add(&variants, EVENTS - 2, Break::Close, Spoiled::Always);
    cases.check(Outcome::is_whole_stream);
}

/// Whatever does not belong to the stream ends it where there is no resumption.
#[test]
fn text_of_an_error_ends_a_stream_that_must_not_be_resumed() {
    let mut variants = Vec::new();
    for spoiled in [
        "event: error\ndata: overloaded\n\n",
        "upstream connect error\n\n",
        "id: 1\ndata: again\n\n",
        INNER_RESPONSE,
    ] {
        variants.extend(Variant::of_body(&format!("{spoiled:?}"), move |_| {
            events(1..=2) + spoiled
        }));
        variants.extend(Variant::of_body(
            &format!("{spoiled:?}, then the rest"),
            move |_| events(1..=2) + spoiled + &rest(2),
        ));
    }
    let mut cases = Cases::new().without_resumption();
    cases.add(&variants, 2, Break::Close, Spoiled::AtOnce);
    cases.check(Outcome::is_visibly_broken);
}
