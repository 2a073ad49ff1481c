//! The users' platform's store, with the faults of the real one.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, time::sleep};

use crate::serve::{self, Answer, query, text};

/// How the store, or one way to it, behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointMode {
    /// It answers.
    #[default]
    Normal,
    /// It answers that nothing was done.
    Refusing,
    /// It takes calls and says nothing.
    Silent,
    /// It does what it is asked and breaks the connection.
    LosingAnswers,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Default)]
struct State {
    items: Items,
    history: Vec<Change>,
    compacted_to: u64,
    revision: u64,
    calls: BTreeMap<String, u64>,
    /// What stale reads see, if not the present state.
    stale: Option<(Items, u64)>,
    /// Whether fresh reads of prefixes are beyond the store's rate.
    is_rate_limited: bool,
}

/// Values and revisions by key.
type Items = BTreeMap<String, (Vec<u8>, u64)>;

/// The store.
#[derive(Default)]
pub struct PlatformStore {
    state: Mutex<State>,
    changed: Notify,
}

/// One way to the store, such as that of one host.
pub struct StoreEndpoint {
    store: Arc<PlatformStore>,
    mode: Mutex<EndpointMode>,
}

impl PlatformStore {
    /// Writes an item. Returns its revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        self.change(key, Some(value.into()))
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.history.push(Change {
            key: key.to_owned(),
            value,
            revision,
        });
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// An item's value.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        state.items.get(key).map(|(value, _)| value.clone())
    }

    /// Forgets the history.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted_to = state.revision;
        state.history.clear();
    }

    /// From now on stale reads see the items as they are at this moment.
    pub fn freeze_stale_reads(&self) {
        let mut state = self.state.lock();
        state.stale = Some((state.items.clone(), state.revision));
    }

    /// Refuses fresh reads of prefixes, as a store whose rate is used up, or takes them again.
    pub fn set_rate_limited(&self, is_rate_limited: bool) {
        self.state.lock().is_rate_limited = is_rate_limited;
    }

    /// Calls of a path so far.
    pub fn calls(&self, path: &str) -> u64 {
        self.state.lock().calls.get(path).copied().unwrap_or(0)
    }

    /// A page of a prefix; none if it is beyond the store's rate.
    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> Option<Value> {
        const PAGE: usize = 100;
        let state = self.state.lock();
        if state.is_rate_limited && !is_stale {
            return None;
        }
        let (seen, store_revision) = match &state.stale {
            Some((items, revision)) if is_stale => (items, *revision),
            _ => (&state.items, state.revision),
        };
        let matching = seen
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = matching
            .take(PAGE + 1)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let is_truncated = items.len() > PAGE;
        items.truncate(PAGE);
        Some(json!({"items": items, "truncated": is_truncated, "storeRevision": store_revision}))
    }

    /// Changes after a revision; none if the history no longer holds them.
    fn changes(&self, prefix: &str, after: u64) -> Option<(Vec<Value>, u64)> {
        let state = self.state.lock();
        if after < state.compacted_to {
            return None;
        }
        let matching = state
            .history
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix));
        let event = |change: &Change| match &change.value {
            Some(value) => item(&change.key, value, change.revision),
            None => json!({"key": change.key, "revision": change.revision, "tombstone": true}),
        };
        Some((matching.map(event).collect(), state.revision))
    }

    fn commit(&self, body: &Value) -> (StatusCode, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("expectedRevision") {
            let key = row["key"].as_str().unwrap_or_default();
            let state = self.state.lock();
            let revision = state.items.get(key).map_or(0, |(_, revision)| *revision);
            if row["revision"].as_u64() != Some(revision) {
                return (StatusCode::PRECONDITION_FAILED, json!({"items": []}));
            }
        }
        let mut revision = self.state.lock().revision;
        for row in rows("writes") {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
            revision = self.put(
                row["key"].as_str().unwrap_or_default(),
                value.unwrap_or_default(),
            );
        }
        for key in rows("remove") {
            revision = self.remove(key.as_str().unwrap_or_default());
        }
        (StatusCode::OK, json!({"revision": revision}))
    }
}

fn item(key: &str, value: &[u8], revision: u64) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "created": revision, "lease": 0})
}

impl StoreEndpoint {
    /// A way to `store` that is open.
    pub fn new(store: Arc<PlatformStore>) -> Arc<Self> {
        Arc::new(Self {
            store,
            mode: Mutex::default(),
        })
    }

    /// Changes how this way behaves.
    pub fn set_mode(&self, mode: EndpointMode) {
        *self.mode.lock() = mode;
    }

    /// Serves this way.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve::serve(listener, self, |endpoint, req| async move {
            endpoint.answer(req).await
        })
        .await;
    }

    async fn answer(&self, req: Request<Incoming>) -> io::Result<Answer> {
        let mode = *self.mode.lock();
        let path = req.uri().path().to_owned();
        *self
            .store
            .state
            .lock()
            .calls
            .entry(path.clone())
            .or_default() += 1;
        match mode {
            EndpointMode::Refusing => return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "")),
            EndpointMode::Silent => {
                std::future::pending::<()>().await;
            }
            EndpointMode::Normal | EndpointMode::LosingAnswers => {}
        }
        let answer = self.run(&path, req).await?;
        if mode == EndpointMode::LosingAnswers {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(answer)
    }

    async fn run(&self, path: &str, req: Request<Incoming>) -> io::Result<Answer> {
        let field = |name: &str| query::<String>(&req, name).unwrap_or_default();
        let prefix = field("pathPrefix");
        match path {
            "/v1/kv-range" => {
                let is_stale = field("serializable") == "1";
                let after = field("after");
                Ok(match self.store.range(&prefix, &after, is_stale) {
                    Some(page) => text(StatusCode::OK, page.to_string()),
                    None => text(StatusCode::TOO_MANY_REQUESTS, ""),
                })
            }
            "/v1/kv-watch" => {
                let after = query(&req, "after").unwrap_or_default();
                let wait = Duration::from_millis(query(&req, "waitMs").unwrap_or_default());
                Ok(self.watch(&prefix, after, wait).await)
            }
            "/v1/kv-txn" => {
                let body = req.into_body().collect().await.map_err(io::Error::other)?;
                let body = serde_json::from_slice(&body.to_bytes()).map_err(io::Error::other)?;
                let (status, answer) = self.store.commit(&body);
                Ok(text(status, answer.to_string()))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "")),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.store.changed.notified();
            let Some((events, revision)) = self.store.changes(prefix, after) else {
                return text(StatusCode::GONE, "");
            };
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                let body = json!({"events": events, "storeRevision": revision});
                return text(StatusCode::OK, body.to_string());
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
            // Changes of one moment come together.
            sleep(Duration::from_millis(1)).await;
        }
    }
}
