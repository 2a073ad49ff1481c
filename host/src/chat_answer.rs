//! Answers of chat completions: streamed as server-sent events, or whole.

use clementinearch_border::{AnswerChoice, ChatAnswer, ChatChunk, ChatMessage, Usage};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::{Bytes, Frame},
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::sync::mpsc;

use crate::{
    refusal::{Answer, Refusal, json_answer},
    relay_answer::Event,
};

/// A server-sent event.
fn sse(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn encode(event: Event) -> Bytes {
    match event {
        Event::Chunk(chunk) => sse(&serde_json::to_string(&chunk).unwrap_or_default()),
        Event::Done => sse("[DONE]"),
        // Without the end marker the caller knows that the answer is not whole.
        Event::Failed(refusal) => {
            let json = serde_json::to_string(&refusal.body()).unwrap_or_default();
            Bytes::from(format!("event: error\ndata: {json}\n\n"))
        }
    }
}

/// Streams the events of a request, of which the first has come already.
pub(crate) fn stream_answer(first: Option<Event>, mut rx: mpsc::Receiver<Event>) -> Answer {
    let mut first = first;
    let events = futures::stream::poll_fn(move |cx| match first.take() {
        Some(event) => std::task::Poll::Ready(Some(event)),
        None => rx.poll_recv(cx),
    });
    let frames = futures::StreamExt::map(events, |event| Ok(Frame::data(encode(event))));
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

/// Collects a whole answer.
pub(crate) async fn whole_answer(
    request_id: &str,
    version: &str,
    mut rx: mpsc::Receiver<Event>,
) -> Result<Answer, Refusal> {
    let mut content = String::new();
    let mut usage = Usage {
        prompt_tokens: 0,
        completion_tokens: 0,
    };
    let mut finish_reason = "stop".to_owned();
    while let Some(event) = rx.recv().await {
        match event {
            Event::Chunk(ChatChunk {
                choices,
                usage: told,
                ..
            }) => {
                for choice in choices {
                    content.push_str(&choice.delta.content);
                    finish_reason = choice.finish_reason.unwrap_or(finish_reason);
                }
                usage = told.unwrap_or(usage);
            }
            Event::Failed(refusal) => return Err(refusal),
            Event::Done => {
                let message = ChatMessage {
                    role: "assistant".to_owned(),
                    content,
                };
                let choice = AnswerChoice {
                    index: 0,
                    message,
                    finish_reason,
                };
                let answer = ChatAnswer {
                    id: request_id.to_owned(),
                    model: version.to_owned(),
                    choices: vec![choice],
                    usage,
                };
                return Ok(json_answer(
                    StatusCode::OK,
                    serde_json::to_string(&answer).unwrap_or_default(),
                ));
            }
        }
    }
    let message = "the answer ended before its end marker";
    Err(Refusal::may_have_run(
        StatusCode::BAD_GATEWAY,
        "answer_not_whole",
        message,
    ))
}
