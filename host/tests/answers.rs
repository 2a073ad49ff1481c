//! Callers get complete answers to their own requests although engines mix up, repeat, truncate or
//! abort streams, or crash.

mod fleet;

use clementinearch_border::RunState;
use clementinearch_standins::engine::whole_answer;
use fleet::{Answer, Fleet, body_lines, chat, chat_body, send_streaming, wait_until};

const TOKENS: u32 = 20;

/// Starts one host and `engines` engines with the same version, and waits until each engine has got
/// a request.
fn start_fleet(engines: usize) -> Fleet {
    let fleet = Fleet::serving("token_timeout_ms = 1000\n", engines, &["a"]);
    wait_until("each engine got a request", || {
        chat(&fleet.hosts[0], "one", &[], &chat_body("warm up", 1, false));
        (0..engines).all(|number| !fleet.backend_log(number).is_empty())
    });
    fleet
}

fn stream_chat(fleet: &Fleet, prompt: &str) -> Answer {
    chat(
        &fleet.hosts[0],
        "one",
        &[],
        &chat_body(prompt, TOKENS, true),
    )
}

fn expected_content(prompt: &str) -> String {
    whole_answer("review@v1", prompt, TOKENS)
}

/// An engine may send chunks of another stream, send chunks twice, or end a stream early. The host
/// has to filter the chunks and resume elsewhere after the last good one.
#[test]
fn mixed_up_repeated_and_truncated_streams_reach_the_caller_complete_and_once() {
    let fleet = start_fleet(2);
    for fault in [
        "crossed=1",
        "doubled=1",
        "crossed=1&doubled=1&cut_after=7",
        "cut_after=3",
        "end_after=5",
        "cut_after=0",
    ] {
        fleet.set_backend_faults(0, fault);
        for number in 0..6 {
            let prompt = format!("{fault} {number}");
            let answer = stream_chat(&fleet, &prompt);
            assert!(answer.is_whole(), "{prompt}: {answer:?}");
            assert_eq!(answer.content(), expected_content(&prompt), "{prompt}");
            let single = chat(
                &fleet.hosts[0],
                "one",
                &[],
                &chat_body(&prompt, TOKENS, false),
            );
            assert_eq!(single.content(), expected_content(&prompt), "{prompt}");
        }
    }
    let resumed = fleet
        .backend_log(1)
        .iter()
        .any(|line| line.ends_with("from 3") && line.contains("review@v1"));
    assert!(
        resumed,
        "no stream was resumed after its last chunk: {:?}",
        fleet.backend_log(1)
    );
}

#[test]
fn a_stream_whose_engine_is_killed_continues_on_another_with_the_same_version() {
    let mut fleet = start_fleet(2);
    let headers = [("authorization", "Bearer one")];
    let body = chat_body("long", 300, true);
    let path = "/v1/chat/completions";
    let response = send_streaming("POST", fleet.hosts[0].callers(), path, &headers, &body).unwrap();
    let mut lines = body_lines(response);
    let mut data: Vec<String> = lines
        .by_ref()
        .filter(|line| line.starts_with("data: "))
        .take(3)
        .collect();
    let is_running = |number: usize| {
        fleet
            .backend_log(number)
            .last()
            .unwrap()
            .starts_with("start")
    };
    let running = (0..2)
        .find(|number| is_running(*number))
        .expect("an engine runs the request");
    fleet.kill_backend(running);
    data.extend(lines.filter(|line| line.starts_with("data: ")));
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        text: format!("{}\n\n", data.join("\n")),
    };
    assert!(answer.is_whole());
    assert_eq!(answer.content(), whole_answer("review@v1", "long", 300));
}

#[test]
fn an_answer_that_cannot_be_completed_ends_with_an_error_and_no_end_marker() {
    let fleet = start_fleet(1);
    fleet.set_backend_faults(0, "cut_after=4");
    let answer = stream_chat(&fleet, "lost");
    assert!(!answer.is_whole());
    let error = answer
        .text
        .split("event: error\ndata: ")
        .nth(1)
        .expect("an error event");
    let body: clementinearch_border::ErrorBody = serde_json::from_str(error.trim()).unwrap();
    assert_eq!(
        (body.error.code.as_str(), body.error.run),
        ("no_server", RunState::MayHaveRun)
    );
    assert!(body.error.retry_after_ms.is_some());
}

#[test]
fn a_slow_caller_gets_the_whole_stream_and_a_disconnect_cancels_the_request() {
    let fleet = start_fleet(1);
    let headers = [("authorization", "Bearer one")];
    let path = "/v1/chat/completions";
    let response = send_streaming(
        "POST",
        fleet.hosts[0].callers(),
        path,
        &headers,
        &chat_body("slow", TOKENS, true),
    );
    let mut data = Vec::new();
    for line in body_lines(response.unwrap()) {
        std::thread::sleep(std::time::Duration::from_millis(5));
        data.push(line);
    }
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        text: format!("{}\n", data.join("\n")),
    };
    assert_eq!(answer.content(), expected_content("slow"));

    let response = send_streaming(
        "POST",
        fleet.hosts[0].callers(),
        path,
        &headers,
        &chat_body("gone", 100_000, true),
    );
    let mut lines = body_lines(response.unwrap());
    assert!(lines.any(|line| line.starts_with("data: ")));
    drop(lines);
    wait_until("the engine gets the cancellation", || {
        fleet
            .backend_log(0)
            .iter()
            .any(|line| line.starts_with("cancel"))
    });
}
