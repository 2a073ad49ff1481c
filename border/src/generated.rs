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
///The single choice of a whole answer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The single choice of a whole answer.",
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
///      "description": "Always zero: one choice a request.",
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
    ///Always zero: one choice a request.
    pub index: u32,
    pub message: ChatMessage,
}
///What one request costs its client account.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What one request costs its client account.",
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
///      "description": "Client account.",
///      "type": "string"
///    },
///    "completion_tokens": {
///      "description": "Tokens of the answer.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "id": {
///      "description": "Request id: UUID version 7 in simple form.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version, as `model@version`, or the service.",
///      "type": "string"
///    },
///    "prompt_tokens": {
///      "description": "Tokens of the prompt.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "whole": {
///      "description": "Whether the answer was whole when the record was written.",
///      "type": "boolean"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BillRecord {
    ///Client account.
    pub account: ::std::string::String,
    ///Tokens of the answer.
    pub completion_tokens: u32,
    ///Request id: UUID version 7 in simple form.
    pub id: ::std::string::String,
    ///Model and version, as `model@version`, or the service.
    pub model: ::std::string::String,
    ///Tokens of the prompt.
    pub prompt_tokens: u32,
    ///Whether the answer was whole when the record was written.
    pub whole: bool,
}
///Body of a whole, not streamed, chat completion.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Body of a whole, not streamed, chat completion.",
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
///      "description": "Model and version that answered, as `model@version`.",
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
    ///Model and version that answered, as `model@version`.
    pub model: ::std::string::String,
    pub usage: Usage,
}
///The single choice of a streamed chunk.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The single choice of a streamed chunk.",
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
///      "description": "`stop` or `length` in the last chunk, else absent.",
///      "type": "string"
///    },
///    "index": {
///      "description": "Always zero: one choice a request.",
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
    ///`stop` or `length` in the last chunk, else absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    ///Always zero: one choice a request.
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
///      "description": "Request id towards callers, attempt id from engines.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version that generated the chunk, as `model@version`.",
///      "type": "string"
///    },
///    "position": {
///      "description": "Position of the chunk's token within the answer, counted from zero.",
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
    ///Request id towards callers, attempt id from engines.
    pub id: ::std::string::String,
    ///Model and version that generated the chunk, as `model@version`.
    pub model: ::std::string::String,
    ///Position of the chunk's token within the answer, counted from zero.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub position: ::std::option::Option<u32>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
///Text that one chunk adds to the answer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Text that one chunk adds to the answer.",
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
///Body of a chat completion request, from a caller and towards a model engine.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Body of a chat completion request, from a caller and towards a model engine.",
///  "type": "object",
///  "required": [
///    "messages",
///    "model"
///  ],
///  "properties": {
///    "max_tokens": {
///      "description": "Upper bound of generated tokens.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "messages": {
///      "description": "Conversation so far.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ChatMessage"
///      }
///    },
///    "model": {
///      "description": "Name of the model; towards an engine, `model@version`.",
///      "type": "string"
///    },
///    "stream": {
///      "description": "Whether the answer comes as server-sent events.",
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
    ///Upper bound of generated tokens.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///Conversation so far.
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///Name of the model; towards an engine, `model@version`.
    pub model: ::std::string::String,
    ///Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    #[serde(flatten)]
    pub extra: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
}
///Write-once record that decides which host may send a call that must not be repeated.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Write-once record that decides which host may send a call that must not be repeated.",
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
///      "description": "Body of the finished call, when it is small enough to keep.",
///      "type": "string"
///    },
///    "at_ms": {
///      "description": "Owner's clock at the last write, milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "body_digest": {
///      "description": "SHA-256 of method, path and body in hexadecimal.",
///      "type": "string"
///    },
///    "nonce": {
///      "description": "Distinguishes this claim from every other attempt to write it.",
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
///      "description": "HTTP status of the finished call.",
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
    ///Body of the finished call, when it is small enough to keep.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<::std::string::String>,
    ///Owner's clock at the last write, milliseconds since the Unix epoch.
    pub at_ms: u64,
    ///SHA-256 of method, path and body in hexadecimal.
    pub body_digest: ::std::string::String,
    ///Distinguishes this claim from every other attempt to write it.
    pub nonce: ::std::string::String,
    ///Entry host and incarnation that wrote the claim.
    pub owner: ::std::string::String,
    pub state: ClaimState,
    ///HTTP status of the finished call.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u16>,
}
///What the claim's owner last knew about the call.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What the claim's owner last knew about the call.",
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
///An accepted edit, kept so that a lost answer can be recognised.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An accepted edit, kept so that a lost answer can be recognised.",
///  "type": "object",
///  "required": [
///    "at_ms",
///    "id",
///    "items",
///    "revision"
///  ],
///  "properties": {
///    "at_ms": {
///      "description": "Writer's clock, milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "id": {
///      "description": "Edit id given by the writer.",
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
    ///Writer's clock, milliseconds since the Unix epoch.
    pub at_ms: u64,
    ///Edit id given by the writer.
    pub id: ::std::string::String,
    ///Items that the edit wrote or removed.
    pub items: ::std::vec::Vec<::std::string::String>,
    ///Head revision that the edit produced.
    pub revision: u64,
}
///Body of every answer that is not a success.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Body of every answer that is not a success.",
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
///A typed error.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A typed error.",
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
///      "description": "Explanation for a person.",
///      "type": "string"
///    },
///    "retry_after_ms": {
///      "description": "When to come back, in milliseconds from now.",
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
    ///Explanation for a person.
    pub message: ::std::string::String,
    ///When to come back, in milliseconds from now.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    pub run: RunState,
}
///Answer to a status query.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Answer to a status query.",
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
///      "description": "One entry a host.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/HostStatus"
///      }
///    },
///    "in_force_everywhere": {
///      "description": "Whether every listed or known host has itself said so.",
///      "type": "boolean"
///    },
///    "newest_revision": {
///      "description": "Highest revision that the answering host has heard of.",
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
    ///One entry a host.
    pub hosts: ::std::vec::Vec<HostStatus>,
    ///Whether every listed or known host has itself said so.
    pub in_force_everywhere: bool,
    ///Highest revision that the answering host has heard of.
    pub newest_revision: u64,
}
///The single key whose compare-and-swap accepts a configuration edit.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The single key whose compare-and-swap accepts a configuration edit.",
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
///      "description": "Grows by one with each accepted edit.",
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
    ///Grows by one with each accepted edit.
    pub revision: u64,
}
///Which body of an item is accepted, and since which revision.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Which body of an item is accepted, and since which revision.",
///  "type": "object",
///  "required": [
///    "digest",
///    "revision"
///  ],
///  "properties": {
///    "digest": {
///      "description": "SHA-256 of the body in hexadecimal; part of the body's key.",
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
    ///SHA-256 of the body in hexadecimal; part of the body's key.
    pub digest: ::std::string::String,
    ///Head revision that accepted this body.
    pub revision: u64,
}
///One host of the platform's host list.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One host of the platform's host list.",
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
///      "description": "IP address and port: of the peer port for an entry host, of the HTTP port for a backend server.",
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
    ///IP address and port: of the peer port for an entry host, of the HTTP port for a backend server.
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
///The platform's lagging list of hosts.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The platform's lagging list of hosts.",
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
///What a listed host does.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a listed host does.",
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
///What one entry host has said of itself when it was asked.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What one entry host has said of itself when it was asked.",
///  "type": "object",
///  "required": [
///    "findings",
///    "host",
///    "in_force",
///    "zone"
///  ],
///  "properties": {
///    "findings": {
///      "description": "Items that the host met and could not apply.",
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
///      "description": "Whether the host itself has said that it applies the newest known revision.",
///      "type": "boolean"
///    },
///    "revision": {
///      "description": "Revision that the host said it applies; absent if it has said nothing.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "since_ms": {
///      "description": "When the host began to apply it, its clock, milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "why_not": {
///      "description": "Reason while not in force.",
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
    ///Items that the host met and could not apply.
    pub findings: ::std::vec::Vec<::std::string::String>,
    ///Name of the entry host.
    pub host: ::std::string::String,
    ///Whether the host itself has said that it applies the newest known revision.
    pub in_force: bool,
    ///Revision that the host said it applies; absent if it has said nothing.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
    ///When the host began to apply it, its clock, milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub since_ms: ::std::option::Option<u64>,
    ///Reason while not in force.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub why_not: ::std::option::Option<::std::string::String>,
    ///Availability zone.
    pub zone: ::std::string::String,
}
///Who gives the orders of a pool.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Who gives the orders of a pool.",
///  "type": "object",
///  "required": [
///    "fence",
///    "holder",
///    "renewed_ms"
///  ],
///  "properties": {
///    "fence": {
///      "description": "Fencing number, higher with each new tenure.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "holder": {
///      "description": "Entry host and incarnation.",
///      "type": "string"
///    },
///    "renewed_ms": {
///      "description": "Holder's clock at the last renewal, milliseconds since the Unix epoch; told for operators only.",
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
    ///Fencing number, higher with each new tenure.
    pub fence: u64,
    ///Entry host and incarnation.
    pub holder: ::std::string::String,
    ///Holder's clock at the last renewal, milliseconds since the Unix epoch; told for operators only.
    pub renewed_ms: u64,
}
///Bills of one shard and one epoch; its compare-and-swap makes each request billed once.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Bills of one shard and one epoch; its compare-and-swap makes each request billed once.",
///  "type": "object",
///  "required": [
///    "records"
///  ],
///  "properties": {
///    "records": {
///      "description": "Bills in the order of their arrival.",
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
    ///Bills in the order of their arrival.
    pub records: ::std::vec::Vec<BillRecord>,
}
///A backend server's own, lagging report.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A backend server's own, lagging report.",
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
///      "description": "Whether the server takes no new work.",
///      "type": "boolean"
///    },
///    "queued": {
///      "description": "Requests waiting for the batch.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "running": {
///      "description": "Requests in the batch.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "slots": {
///      "description": "Requests that the batch holds at most.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "versions": {
///      "description": "Loaded versions as `model@version`; empty for a plain service.",
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
    ///Whether the server takes no new work.
    pub leaving: bool,
    ///Requests waiting for the batch.
    pub queued: u32,
    ///Requests in the batch.
    pub running: u32,
    ///Requests that the batch holds at most.
    pub slots: u32,
    ///Loaded versions as `model@version`; empty for a plain service.
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
///      "description": "Versions that take new work.",
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
    ///Versions that take new work.
    pub versions: ::std::vec::Vec<::std::string::String>,
}
///Models of the calling account's plan.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Models of the calling account's plan.",
///  "type": "object",
///  "required": [
///    "data"
///  ],
///  "properties": {
///    "data": {
///      "description": "One entry a model.",
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
    ///One entry a model.
    pub data: ::std::vec::Vec<ModelEntry>,
}
///The rating service's word on one answer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The rating service's word on one answer.",
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
///      "description": "Value of the answer's header `x-cascade`, if it had one.",
///      "type": "string"
///    },
///    "model": {
///      "description": "Model and version that answered, as `model@version`.",
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
    ///Value of the answer's header `x-cascade`, if it had one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub cascade: ::std::option::Option<::std::string::String>,
    ///Model and version that answered, as `model@version`.
    pub model: ::std::string::String,
}
///What is known about the work behind a refused or failed request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What is known about the work behind a refused or failed request.",
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
///Tokens read and generated for one request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tokens read and generated for one request.",
///  "type": "object",
///  "required": [
///    "completion_tokens",
///    "prompt_tokens"
///  ],
///  "properties": {
///    "completion_tokens": {
///      "description": "Tokens of the answer.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "prompt_tokens": {
///      "description": "Tokens of the prompt.",
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
    ///Tokens of the answer.
    pub completion_tokens: u32,
    ///Tokens of the prompt.
    pub prompt_tokens: u32,
}
