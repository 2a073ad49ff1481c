//! HTTP client of the tests, which acts as a caller, an operator or another host.

use std::{
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpStream},
};

use clementinearch_border::ErrorBody;
use oxhttp::{
    Client,
    model::{Body, Request, Response},
};

use super::{EntryHost, HANG_TIMEOUT};

/// An HTTP response with its complete body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub text: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }

    pub fn error(&self) -> clementinearch_border::ErrorDetail {
        let body: ErrorBody =
            serde_json::from_str(&self.text).unwrap_or_else(|e| panic!("{e}: {self:?}"));
        body.error
    }

    /// Returns the text of a chat completion, from a single body or from the chunks of a stream.
    pub fn content(&self) -> String {
        if let Ok(answer) = serde_json::from_str::<clementinearch_border::ChatAnswer>(&self.text) {
            return answer.choices[0].message.content.clone();
        }
        let data = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = data
            .filter_map(|data| serde_json::from_str::<clementinearch_border::ChatChunk>(data).ok());
        chunks
            .map(|chunk| chunk.choices[0].delta.content.clone())
            .collect()
    }

    /// Returns whether a stream ended with its end marker.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.text.ends_with("data: [DONE]\n\n")
    }
}

/// Sends a request and returns the response as soon as its head is read.
pub fn send_streaming(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Response<Body>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let req = builder.body(Body::from(body.to_owned())).unwrap();
    Client::new().with_global_timeout(HANG_TIMEOUT).request(req)
}

/// Sends a request and reads the complete response.
pub fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Answer> {
    let response = send_streaming(method, address, path, headers, body)?;
    let status = response.status().as_u16();
    let pair = |(name, value): (&oxhttp::model::HeaderName, &oxhttp::model::HeaderValue)| {
        (
            name.to_string(),
            value.to_str().unwrap_or_default().to_owned(),
        )
    };
    let headers = response.headers().iter().map(pair).collect();
    let text = response.into_body().to_string()?;
    Ok(Answer {
        status,
        headers,
        text,
    })
}

/// Sends a GET request. Returns the status and the body, or none if the connection fails.
pub fn try_get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    TcpStream::connect_timeout(&address, HANG_TIMEOUT).ok()?;
    let answer = send("GET", address, path, &[], "").ok()?;
    Some((answer.status, answer.text))
}

/// Formats a chat request for a completion of `tokens` tokens.
pub fn chat_body(prompt: &str, tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model":"review","stream":{stream},"max_tokens":{tokens},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    )
}

/// Sends a chat request with the API key `key`.
pub fn chat(host: &EntryHost, key: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let authorization = format!("Bearer {key}");
    let mut all = vec![("authorization", authorization.as_str())];
    all.extend_from_slice(headers);
    send("POST", host.callers(), "/v1/chat/completions", &all, body).unwrap()
}

/// Requests a short completion, not streamed, with the key of the plan `one`.
pub fn send_short_chat(host: &EntryHost) -> Answer {
    chat(host, "one", &[], &chat_body("side A", 2, false))
}

/// Sends a POST call to a plain service; `path` starts with the service's name.
pub fn call_service(
    host: &EntryHost,
    key: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let authorization = format!("Bearer {key}");
    let mut all = vec![("authorization", authorization.as_str())];
    all.extend_from_slice(headers);
    send(
        "POST",
        host.callers(),
        &format!("/services/{path}"),
        &all,
        body,
    )
    .unwrap()
}

/// Reads the body of a response line by line, up to its end or an error.
pub fn body_lines(response: Response<Body>) -> impl Iterator<Item = String> {
    BufReader::new(response.into_body())
        .lines()
        .map_while(Result::ok)
}
