/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///The only choice of an answer that is not streamed.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The only choice of an answer that is not streamed.",
///  "type": "object",
///  "required": [
///    "finish_reason",
///    "index",
///    "message"
///  ],
///  "properties": {
///    "finish_reason": {
///      "description": "`stop` or `length`.",
///      "type": "string"
///    },
///    "index": {
///      "description": "Always zero, since each request has one choice.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "message": {
///      "$ref": "#/definitions/ChatMessage"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AnswerChoice {
    ///`stop` or `length`.
    pub finish_reason: ::std::string::String,
    ///Always zero, since each request has one choice.
    pub index: u32,
    pub message: ChatMessage,
}
///Usage that one request adds to the bill of its client account.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Usage that one request adds to the bill of its client account.",
///  "type": "object",
///  "required": [
///    "account",
///    "completion_tokens",
///    "id",
///    "model",
///    "prompt_tokens",
///    "whole"
///  ],
///  "properties": {
///    "account": {
///      "description": "Name of the client account.",
///      "type": "string"
///    },
///    "completion_tokens": {
///      "description": "Number of tokens in the completion.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "id": {
///      "description": "Request id: UUID version 7 in simple form.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version as `model@version`, or the name of the service.",
///      "type": "string"
///    },
///    "prompt_tokens": {
///      "description": "Number of tokens in the prompt.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "whole": {
///      "description": "Whether the answer was complete when the record was written.",
///      "type": "boolean"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BillRecord {
    ///Name of the client account.
    pub account: ::std::string::String,
    ///Number of tokens in the completion.
    pub completion_tokens: u32,
    ///Request id: UUID version 7 in simple form.
    pub id: ::std::string::String,
    ///Model and version as `model@version`, or the name of the service.
    pub model: ::std::string::String,
    ///Number of tokens in the prompt.
    pub prompt_tokens: u32,
    ///Whether the answer was complete when the record was written.
    pub whole: bool,
}
///Body of a chat completion that is not streamed.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Body of a chat completion that is not streamed.",
///  "type": "object",
///  "required": [
///    "choices",
///    "id",
///    "model",
///    "usage"
///  ],
///  "properties": {
///    "choices": {
///      "description": "Exactly one choice.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/AnswerChoice"
///      }
///    },
///    "id": {
///      "description": "Request id.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version that generated the answer, as `model@version`.",
///      "type": "string"
///    },
///    "usage": {
///      "$ref": "#/definitions/Usage"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatAnswer {
    ///Exactly one choice.
    pub choices: ::std::vec::Vec<AnswerChoice>,
    ///Request id.
    pub id: ::std::string::String,
    ///Model and version that generated the answer, as `model@version`.
    pub model: ::std::string::String,
    pub usage: Usage,
}
///The only choice of a streamed chunk.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The only choice of a streamed chunk.",
///  "type": "object",
///  "required": [
///    "delta",
///    "index"
///  ],
///  "properties": {
///    "delta": {
///      "$ref": "#/definitions/ChatDelta"
///    },
///    "finish_reason": {
///      "description": "`stop` or `length` in the last chunk, otherwise absent.",
///      "type": "string"
///    },
///    "index": {
///      "description": "Always zero, since each request has one choice.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChoice {
    pub delta: ChatDelta,
    ///`stop` or `length` in the last chunk, otherwise absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    ///Always zero, since each request has one choice.
    pub index: u32,
}
///One server-sent event of a streamed chat completion.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One server-sent event of a streamed chat completion.",
///  "type": "object",
///  "required": [
///    "choices",
///    "id",
///    "model"
///  ],
///  "properties": {
///    "choices": {
///      "description": "Exactly one choice.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ChatChoice"
///      }
///    },
///    "id": {
///      "description": "Request id in responses to callers, attempt id in responses from engines.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version that generated the chunk, as `model@version`.",
///      "type": "string"
///    },
///    "position": {
///      "description": "Zero-based position of the chunk's token in the answer.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "usage": {
///      "$ref": "#/definitions/Usage"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChunk {
    ///Exactly one choice.
    pub choices: ::std::vec::Vec<ChatChoice>,
    ///Request id in responses to callers, attempt id in responses from engines.
    pub id: ::std::string::String,
    ///Model and version that generated the chunk, as `model@version`.
    pub model: ::std::string::String,
    ///Zero-based position of the chunk's token in the answer.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub position: ::std::option::Option<u32>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
///Text that a chunk appends to the answer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Text that a chunk appends to the answer.",
///  "type": "object",
///  "required": [
///    "content"
///  ],
///  "properties": {
///    "content": {
///      "description": "Generated text.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatDelta {
    ///Generated text.
    pub content: ::std::string::String,
}
///One message of a conversation.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One message of a conversation.",
///  "type": "object",
///  "required": [
///    "content",
///    "role"
///  ],
///  "properties": {
///    "content": {
///      "description": "Text of the message.",
///      "type": "string"
///    },
///    "role": {
///      "description": "Author of the message: system, user or assistant.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatMessage {
    ///Text of the message.
    pub content: ::std::string::String,
    ///Author of the message: system, user or assistant.
    pub role: ::std::string::String,
}
///Body of a chat completion request, from a caller or to a model engine.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Body of a chat completion request, from a caller or to a model engine.",
///  "type": "object",
///  "required": [
///    "messages",
///    "model"
///  ],
///  "properties": {
///    "max_tokens": {
///      "description": "Maximum number of tokens to generate.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "messages": {
///      "description": "Messages of the conversation, oldest first.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ChatMessage"
///      }
///    },
///    "model": {
///      "description": "Name of the model; in requests to an engine, `model@version`.",
///      "type": "string"
///    },
///    "stream": {
///      "description": "Whether the response is streamed as server-sent events.",
///      "default": false,
///      "type": "boolean"
///    }
///  },
///  "additionalProperties": {}
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatRequest {
    ///Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///Messages of the conversation, oldest first.
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///Name of the model; in requests to an engine, `model@version`.
    pub model: ::std::string::String,
    ///Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
///Write-once record that decides which host may send a call that must run at most once.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Write-once record that decides which host may send a call that must run at most once.",
///  "type": "object",
///  "required": [
///    "at_ms",
///    "body_digest",
///    "nonce",
///    "owner",
///    "state"
///  ],
///  "properties": {
///    "answer": {
///      "description": "Body of the response, if it is small enough to store.",
///      "type": "string"
///    },
///    "at_ms": {
///      "description": "Time of the last write on the owner's clock, milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "body_digest": {
///      "description": "SHA-256 of the method, path and body in hexadecimal.",
///      "type": "string"
///    },
///    "nonce": {
///      "description": "Unique value of each attempt to acquire the claim.",
///      "type": "string"
///    },
///    "owner": {
///      "description": "Entry host and incarnation that wrote the claim.",
///      "type": "string"
///    },
///    "state": {
///      "$ref": "#/definitions/ClaimState"
///    },
///    "status": {
///      "description": "HTTP status of the response, once the call is done.",
///      "type": "integer",
///      "format": "uint16",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    ///Body of the response, if it is small enough to store.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<::std::string::String>,
    ///Time of the last write on the owner's clock, milliseconds since the Unix epoch.
    pub at_ms: u64,
    ///SHA-256 of the method, path and body in hexadecimal.
    pub body_digest: ::std::string::String,
    ///Unique value of each attempt to acquire the claim.
    pub nonce: ::std::string::String,
    ///Entry host and incarnation that wrote the claim.
    pub owner: ::std::string::String,
    pub state: ClaimState,
    ///HTTP status of the response, once the call is done.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u16>,
}
///State of the call as last recorded by the owner of the claim.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "State of the call as last recorded by the owner of the claim.",
///  "type": "string",
///  "enum": [
///    "claimed",
///    "released",
///    "done",
///    "unknown"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ClaimState {
    #[serde(rename = "claimed")]
    Claimed,
    #[serde(rename = "released")]
    Released,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ClaimState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Claimed => f.write_str("claimed"),
            Self::Released => f.write_str("released"),
            Self::Done => f.write_str("done"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ClaimState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "claimed" => Ok(Self::Claimed),
            "released" => Ok(Self::Released),
            "done" => Ok(Self::Done),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Accepted edit, kept so that a writer whose response was lost can find out that it was accepted.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Accepted edit, kept so that a writer whose response was lost can find out that it was accepted.",
///  "type": "object",
///  "required": [
///    "at_ms",
///    "id",
///    "items",
///    "revision"
///  ],
///  "properties": {
///    "at_ms": {
///      "description": "Time of the edit on the writer's clock, milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "id": {
///      "description": "Edit id chosen by the writer.",
///      "type": "string"
///    },
///    "items": {
///      "description": "Items that the edit wrote or removed.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "revision": {
///      "description": "Head revision that the edit produced.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EditEntry {
    ///Time of the edit on the writer's clock, milliseconds since the Unix epoch.
    pub at_ms: u64,
    ///Edit id chosen by the writer.
    pub id: ::std::string::String,
    ///Items that the edit wrote or removed.
    pub items: ::std::vec::Vec<::std::string::String>,
    ///Head revision that the edit produced.
    pub revision: u64,
}
///Body of every error response.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Body of every error response.",
///  "type": "object",
///  "required": [
///    "error"
///  ],
///  "properties": {
///    "error": {
///      "$ref": "#/definitions/ErrorDetail"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
///Error with a machine-readable code.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Error with a machine-readable code.",
///  "type": "object",
///  "required": [
///    "code",
///    "message",
///    "run"
///  ],
///  "properties": {
///    "code": {
///      "description": "Stable machine-readable code.",
///      "type": "string"
///    },
///    "message": {
///      "description": "Human-readable explanation.",
///      "type": "string"
///    },
///    "retry_after_ms": {
///      "description": "Time to wait before the next attempt, milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "run": {
///      "$ref": "#/definitions/RunState"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorDetail {
    ///Stable machine-readable code.
    pub code: ::std::string::String,
    ///Human-readable explanation.
    pub message: ::std::string::String,
    ///Time to wait before the next attempt, milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    pub run: RunState,
}
///Response to a status query.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Response to a status query.",
///  "type": "object",
///  "required": [
///    "answered_by",
///    "hosts",
///    "in_force_everywhere",
///    "newest_revision"
///  ],
///  "properties": {
///    "answered_by": {
///      "description": "Entry host that answered.",
///      "type": "string"
///    },
///    "hosts": {
///      "description": "One entry per host.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/HostStatus"
///      }
///    },
///    "in_force_everywhere": {
///      "description": "Whether every listed or otherwise known host has reported that it applies the newest revision.",
///      "type": "boolean"
///    },
///    "newest_revision": {
///      "description": "Highest revision known to the answering host.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FleetStatus {
    ///Entry host that answered.
    pub answered_by: ::std::string::String,
    ///One entry per host.
    pub hosts: ::std::vec::Vec<HostStatus>,
    ///Whether every listed or otherwise known host has reported that it applies the newest revision.
    pub in_force_everywhere: bool,
    ///Highest revision known to the answering host.
    pub newest_revision: u64,
}
///Index of the accepted configuration, stored under one key whose compare-and-swap accepts an edit.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Index of the accepted configuration, stored under one key whose compare-and-swap accepts an edit.",
///  "type": "object",
///  "required": [
///    "edits",
///    "items",
///    "revision"
///  ],
///  "properties": {
///    "edits": {
///      "description": "Latest accepted edits, oldest first.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/EditEntry"
///      }
///    },
///    "items": {
///      "description": "Accepted items by name, such as `plan/studio` or `model/review`.",
///      "type": "object",
///      "additionalProperties": {
///        "$ref": "#/definitions/HeadItem"
///      }
///    },
///    "revision": {
///      "description": "Revision of the configuration, incremented by each accepted edit.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Head {
    ///Latest accepted edits, oldest first.
    pub edits: ::std::vec::Vec<EditEntry>,
    ///Accepted items by name, such as `plan/studio` or `model/review`.
    pub items: ::std::collections::HashMap<::std::string::String, HeadItem>,
    ///Revision of the configuration, incremented by each accepted edit.
    pub revision: u64,
}
///Accepted body of a configuration item.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Accepted body of a configuration item.",
///  "type": "object",
///  "required": [
///    "digest",
///    "revision"
///  ],
///  "properties": {
///    "digest": {
///      "description": "SHA-256 of the body in hexadecimal, which is part of the body's key.",
///      "type": "string"
///    },
///    "revision": {
///      "description": "Head revision that accepted this body.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HeadItem {
    ///SHA-256 of the body in hexadecimal, which is part of the body's key.
    pub digest: ::std::string::String,
    ///Head revision that accepted this body.
    pub revision: u64,
}
///Entry of the platform's host list.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Entry of the platform's host list.",
///  "type": "object",
///  "required": [
///    "address",
///    "name",
///    "pool",
///    "role",
///    "state",
///    "zone"
///  ],
///  "properties": {
///    "address": {
///      "description": "IP address and port: the peer port of an entry host, the HTTP port of a backend server.",
///      "type": "string"
///    },
///    "name": {
///      "description": "Name of the host.",
///      "type": "string"
///    },
///    "pool": {
///      "description": "Pool of a backend server; empty for an entry host.",
///      "type": "string"
///    },
///    "role": {
///      "$ref": "#/definitions/HostRole"
///    },
///    "state": {
///      "$ref": "#/definitions/HostState"
///    },
///    "zone": {
///      "description": "Availability zone.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostEntry {
    ///IP address and port: the peer port of an entry host, the HTTP port of a backend server.
    pub address: ::std::string::String,
    ///Name of the host.
    pub name: ::std::string::String,
    ///Pool of a backend server; empty for an entry host.
    pub pool: ::std::string::String,
    pub role: HostRole,
    pub state: HostState,
    ///Availability zone.
    pub zone: ::std::string::String,
}
///The platform's list of hosts, which lags behind the actual state.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The platform's list of hosts, which lags behind the actual state.",
///  "type": "object",
///  "required": [
///    "hosts"
///  ],
///  "properties": {
///    "hosts": {
///      "description": "Listed hosts.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/HostEntry"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostList {
    ///Listed hosts.
    pub hosts: ::std::vec::Vec<HostEntry>,
}
///Function of a listed host.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Function of a listed host.",
///  "type": "string",
///  "enum": [
///    "entry",
///    "backend"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum HostRole {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "backend")]
    Backend,
}
impl ::std::fmt::Display for HostRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Backend => f.write_str("backend"),
        }
    }
}
impl ::std::str::FromStr for HostRole {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "backend" => Ok(Self::Backend),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for HostRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of a listed host.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "State of a listed host.",
///  "type": "string",
///  "enum": [
///    "live",
///    "leaving"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum HostState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for HostState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for HostState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Status that one entry host reported about itself.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Status that one entry host reported about itself.",
///  "type": "object",
///  "required": [
///    "findings",
///    "host",
///    "in_force",
///    "zone"
///  ],
///  "properties": {
///    "findings": {
///      "description": "Items that the host could not apply.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "host": {
///      "description": "Name of the entry host.",
///      "type": "string"
///    },
///    "in_force": {
///      "description": "Whether the host has reported that it applies the newest known revision.",
///      "type": "boolean"
///    },
///    "revision": {
///      "description": "Revision that the host reported to apply; absent if it has not reported.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "since_ms": {
///      "description": "Start of applying the revision on the host's clock, milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "why_not": {
///      "description": "Reason why the newest known revision is not in force on the host.",
///      "type": "string"
///    },
///    "zone": {
///      "description": "Availability zone.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostStatus {
    ///Items that the host could not apply.
    pub findings: ::std::vec::Vec<::std::string::String>,
    ///Name of the entry host.
    pub host: ::std::string::String,
    ///Whether the host has reported that it applies the newest known revision.
    pub in_force: bool,
    ///Revision that the host reported to apply; absent if it has not reported.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
    ///Start of applying the revision on the host's clock, milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub since_ms: ::std::option::Option<u64>,
    ///Reason why the newest known revision is not in force on the host.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub why_not: ::std::option::Option<::std::string::String>,
    ///Availability zone.
    pub zone: ::std::string::String,
}
///Lease of the entry host that sends orders to the model engines of a pool.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Lease of the entry host that sends orders to the model engines of a pool.",
///  "type": "object",
///  "required": [
///    "fence",
///    "holder",
///    "renewed_ms"
///  ],
///  "properties": {
///    "fence": {
///      "description": "Fencing number, increased each time the lease is acquired.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "holder": {
///      "description": "Entry host that holds the lease, with its incarnation.",
///      "type": "string"
///    },
///    "renewed_ms": {
///      "description": "Time of the last renewal on the holder's clock, milliseconds since the Unix epoch; for operators only.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    ///Fencing number, increased each time the lease is acquired.
    pub fence: u64,
    ///Entry host that holds the lease, with its incarnation.
    pub holder: ::std::string::String,
    ///Time of the last renewal on the holder's clock, milliseconds since the Unix epoch; for operators only.
    pub renewed_ms: u64,
}
///Bills of one shard and one epoch, written by compare-and-swap so that each request is billed once.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Bills of one shard and one epoch, written by compare-and-swap so that each request is billed once.",
///  "type": "object",
///  "required": [
///    "records"
///  ],
///  "properties": {
///    "records": {
///      "description": "Bills in the order in which they were added.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/BillRecord"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LedgerPage {
    ///Bills in the order in which they were added.
    pub records: ::std::vec::Vec<BillRecord>,
}
///Load that a backend server reports about itself, with a delay.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Load that a backend server reports about itself, with a delay.",
///  "type": "object",
///  "required": [
///    "leaving",
///    "queued",
///    "running",
///    "slots",
///    "versions"
///  ],
///  "properties": {
///    "leaving": {
///      "description": "Whether the server has stopped accepting new requests.",
///      "type": "boolean"
///    },
///    "queued": {
///      "description": "Number of requests waiting for the batch.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "running": {
///      "description": "Number of requests in the batch.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "slots": {
///      "description": "Maximum number of requests in the batch.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "versions": {
///      "description": "Loaded versions as `model@version`; empty for a service without models.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LoadReport {
    ///Whether the server has stopped accepting new requests.
    pub leaving: bool,
    ///Number of requests waiting for the batch.
    pub queued: u32,
    ///Number of requests in the batch.
    pub running: u32,
    ///Maximum number of requests in the batch.
    pub slots: u32,
    ///Loaded versions as `model@version`; empty for a service without models.
    pub versions: ::std::vec::Vec<::std::string::String>,
}
///One model that the account's plan allows.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One model that the account's plan allows.",
///  "type": "object",
///  "required": [
///    "id",
///    "versions"
///  ],
///  "properties": {
///    "id": {
///      "description": "Name of the model.",
///      "type": "string"
///    },
///    "versions": {
///      "description": "Versions that accept new requests.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ModelEntry {
    ///Name of the model.
    pub id: ::std::string::String,
    ///Versions that accept new requests.
    pub versions: ::std::vec::Vec<::std::string::String>,
}
///Models available in the plan of the calling account.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Models available in the plan of the calling account.",
///  "type": "object",
///  "required": [
///    "data"
///  ],
///  "properties": {
///    "data": {
///      "description": "One entry per model.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ModelEntry"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ModelList {
    ///One entry per model.
    pub data: ::std::vec::Vec<ModelEntry>,
}
///Judgement of the rating service on one answer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Judgement of the rating service on one answer.",
///  "type": "object",
///  "required": [
///    "bad",
///    "model"
///  ],
///  "properties": {
///    "bad": {
///      "description": "Whether the answer was bad.",
///      "type": "boolean"
///    },
///    "cascade": {
///      "description": "Value of the `x-cascade` header of the response, if present.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version that generated the answer, as `model@version`.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Rating {
    ///Whether the answer was bad.
    pub bad: bool,
    ///Value of the `x-cascade` header of the response, if present.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub cascade: ::std::option::Option<::std::string::String>,
    ///Model and version that generated the answer, as `model@version`.
    pub model: ::std::string::String,
}
///Whether a refused or failed request was run, as far as is known.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Whether a refused or failed request was run, as far as is known.",
///  "type": "string",
///  "enum": [
///    "not_run",
///    "may_have_run",
///    "was_run"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RunState {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
    #[serde(rename = "was_run")]
    WasRun,
}
impl ::std::fmt::Display for RunState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::MayHaveRun => f.write_str("may_have_run"),
            Self::WasRun => f.write_str("was_run"),
        }
    }
}
impl ::std::str::FromStr for RunState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "may_have_run" => Ok(Self::MayHaveRun),
            "was_run" => Ok(Self::WasRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RunState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RunState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RunState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Token counts of one request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Token counts of one request.",
///  "type": "object",
///  "required": [
///    "completion_tokens",
///    "prompt_tokens"
///  ],
///  "properties": {
///    "completion_tokens": {
///      "description": "Number of tokens in the completion.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "prompt_tokens": {
///      "description": "Number of tokens in the prompt.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Usage {
    ///Number of tokens in the completion.
    pub completion_tokens: u32,
    ///Number of tokens in the prompt.
    pub prompt_tokens: u32,
}
