//! In-memory stand-in for the platform's store with prefix reads, watches and transactions.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, body::Incoming, header::HeaderValue};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, time::sleep};

use crate::serve::{self, StandinResponse, query, text};

/// Behaviour of a [`StoreEndpoint`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointMode {
    /// Responds to every call.
    #[default]
    Normal,
    /// Responds with `503 Service Unavailable`; calls have no effect.
    Refusing,
    /// Accepts calls and never responds; they have no effect.
    Silent,
    /// Executes the call, then closes the connection without a response.
    LosingResponses,
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
    /// Changes after `compacted_to`, oldest first.
    history: Vec<Change>,
    compacted_to: u64,
    revision: u64,
    /// Number of calls by path.
    calls: BTreeMap<String, u64>,
    /// Items and store revision that stale reads return; the current ones if `None`.
    stale: Option<(Items, u64)>,
    /// Whether fresh prefix reads exceed the store's rate limit.
    is_rate_limited: bool,
    /// Keys of each lease, by its id.
    leases: BTreeMap<u64, Vec<String>>,
    /// JSON that responses contain instead of an item, by its key and revision.
    replaced: BTreeMap<(String, u64), String>,
    /// What responses name as the era; nothing if it is empty.
    era: String,
}

/// A copy of the store's items, from which it can come back.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: Items,
    revision: u64,
}

impl State {
    /// Returns an item in the store's JSON format.
    fn item_json(&self, key: &str, value: &[u8], revision: u64) -> Value {
        if self.replaced.contains_key(&(key.to_owned(), revision)) {
            return placeholder(key, revision).into();
        }
        json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "created": revision, "lease": 0})
    }
}

/// Stands for an item whose JSON is replaced in the text of a response.
fn placeholder(key: &str, revision: u64) -> String {
    format!("replaced:{revision}:{key}")
}

/// Values and revisions of items by key.
type Items = BTreeMap<String, (Vec<u8>, u64)>;

/// State of the store, shared by its endpoints.
#[derive(Default)]
pub struct PlatformStore {
    state: Mutex<State>,
    changed: Notify,
}

/// HTTP endpoint of the store, such as the one that a single host uses.
pub struct StoreEndpoint {
    store: Arc<PlatformStore>,
    mode: Mutex<EndpointMode>,
    /// Addresses in values that this endpoint replaces, and by what.
    addresses: Mutex<Vec<(SocketAddr, SocketAddr)>>,
}

impl PlatformStore {
    /// Writes an item; returns its revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        self.change(key, Some(value.into()), None)
    }

    /// Writes an item that responses contain as `json`, which need not be an item, nor a value that
    /// fits in a [`Value`].
    pub fn put_replaced(&self, key: &str, json: &str) -> u64 {
        self.change(key, Some(Vec::new()), Some(json))
    }

    /// Returns the text of a response.
    fn render(&self, body: &Value) -> String {
        let mut text = body.to_string();
        for ((key, revision), json) in &self.state.lock().replaced {
            text = text.replace(&Value::from(placeholder(key, *revision)).to_string(), json);
        }
        text
    }

    /// Removes an item; returns the revision of the removal.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None, None)
    }

    /// Writes or removes an item, which responses contain as `json` if there is some, and wakes up
    /// watches.
    fn change(&self, key: &str, value: Option<Vec<u8>>, json: Option<&str>) -> u64 {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        if let Some(json) = json {
            let item = (key.to_owned(), revision);
            state.replaced.insert(item, json.to_owned());
        }
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

    /// Returns an item's value.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        state.items.get(key).map(|(value, _)| value.clone())
    }

    /// Returns the keys of the items under `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Ends all leases, which removes their items.
    pub fn end_leases(&self) {
        let leases = std::mem::take(&mut self.state.lock().leases);
        for key in leases.into_values().flatten() {
            self.remove(&key);
        }
    }

    /// Grants a lease. It does not end by itself.
    fn grant_lease(&self, ttl_ms: &Value) -> Value {
        let mut state = self.state.lock();
        let lease = state.leases.len() as u64 + 1;
        state.leases.insert(lease, Vec::new());
        json!({"lease": lease, "ttlMs": ttl_ms})
    }

    /// Takes a copy of all items.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock();
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Comes back from an older copy, in another era. What was written since is lost, leases too, and
    /// revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy, era: u64) {
        let mut state = self.state.lock();
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state
            .history
            .retain(|change| change.revision <= copy.revision);
        state.compacted_to = state.compacted_to.min(copy.revision);
        state.leases.clear();
        state.era = era.to_string();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets what responses name as the era.
    pub fn set_era(&self, era: &str) {
        era.clone_into(&mut self.state.lock().era);
    }

    /// Deletes the history of changes; a watch from an earlier revision then gets `410 Gone`.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted_to = state.revision;
        state.history.clear();
    }

    /// Makes stale reads return the present state from now on, whatever changes later.
    pub fn freeze_stale_reads(&self) {
        let mut state = self.state.lock();
        state.stale = Some((state.items.clone(), state.revision));
    }

    /// Switches the rate limit on or off; while it is on, fresh prefix reads get
    /// `429 Too Many Requests`.
    pub fn set_rate_limited(&self, is_rate_limited: bool) {
        self.state.lock().is_rate_limited = is_rate_limited;
    }

    /// Returns the number of calls of `path` so far.
    pub fn calls(&self, path: &str) -> u64 {
        self.state.lock().calls.get(path).copied().unwrap_or(0)
    }

    /// Returns a page of the items under `prefix` with keys above `after`; `None` if the read is
    /// rate-limited.
    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> Option<Value> {
        const MAX_PAGE_ITEMS: usize = 100;
        let state = self.state.lock();
        if state.is_rate_limited && !is_stale {
            return None;
        }
        let (visible, store_revision) = match &state.stale {
            Some((items, revision)) if is_stale => (items, *revision),
            _ => (&state.items, state.revision),
        };
        let matching = visible
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = matching
            .take(MAX_PAGE_ITEMS + 1)
            .map(|(key, (value, revision))| state.item_json(key, value, *revision))
            .collect();
        let is_truncated = items.len() > MAX_PAGE_ITEMS;
        items.truncate(MAX_PAGE_ITEMS);
        Some(json!({"items": items, "truncated": is_truncated, "storeRevision": store_revision}))
    }

    /// Returns the changes under `prefix` after revision `after`, and the store's revision; `None` if
    /// the history no longer covers them.
    fn changes(&self, prefix: &str, after: u64) -> Option<(Vec<Value>, u64)> {
        let state = self.state.lock();
        if after < state.compacted_to || after > state.revision {
            return None;
        }
        let matching = state
            .history
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix));
        let event = |change: &Change| match &change.value {
            Some(value) => state.item_json(&change.key, value, change.revision),
            None => json!({"key": change.key, "revision": change.revision, "tombstone": true}),
        };
        Some((matching.map(event).collect(), state.revision))
    }

    /// Attaches a key to a lease; returns whether the lease exists.
    fn attach_to_lease(&self, lease: u64, key: &str) -> bool {
        let mut state = self.state.lock();
        let keys = state.leases.get_mut(&lease);
        keys.map(|keys| keys.push(key.to_owned())).is_some()
    }

    /// Runs a transaction: checks the expected revisions, then writes and removes items.
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
            let lease = row["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.attach_to_lease(lease, row["key"].as_str().unwrap_or_default()) {
                return (StatusCode::NOT_FOUND, json!({}));
            }
        }
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

async fn json_body(req: Request<Incoming>) -> io::Result<Value> {
    let body = req.into_body().collect().await.map_err(io::Error::other)?;
    serde_json::from_slice(&body.to_bytes()).map_err(io::Error::other)
}

impl StoreEndpoint {
    /// Creates an endpoint in [`EndpointMode::Normal`].
    pub fn new(store: Arc<PlatformStore>) -> Arc<Self> {
        Arc::new(Self {
            store,
            mode: Mutex::default(),
            addresses: Mutex::default(),
        })
    }

    /// Shows `link` instead of `address` in values from now on, so that the host of this endpoint
    /// reaches a server over a path of its own.
    pub fn replace_address(&self, address: SocketAddr, link: SocketAddr) {
        self.addresses.lock().push((address, link));
    }

    /// Replaces addresses in the value of an item.
    fn localise(&self, item: &mut Value) {
        let Some(value) = item["value"].as_str() else {
            return;
        };
        let decoded = STANDARD.decode(value).unwrap_or_default();
        let Ok(mut text) = String::from_utf8(decoded) else {
            return;
        };
        for (address, link) in self.addresses.lock().iter() {
            text = text.replace(&format!("\"{address}\""), &format!("\"{link}\""));
        }
        item["value"] = STANDARD.encode(text).into();
    }

    fn localise_all(&self, items: &mut Value) {
        let items = items.as_array_mut().into_iter().flatten();
        items.for_each(|item| self.localise(item));
    }

    /// Changes the behaviour of later calls.
    pub fn set_mode(&self, mode: EndpointMode) {
        *self.mode.lock() = mode;
    }

    /// Serves until the listener fails.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve::serve(listener, self, |endpoint, req| async move {
            endpoint.respond(req).await
        })
        .await;
    }

    async fn respond(&self, req: Request<Incoming>) -> io::Result<StandinResponse> {
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
            EndpointMode::Normal | EndpointMode::LosingResponses => {}
        }
        let mut response = self.run(&path, req).await?;
        let era = self.store.state.lock().era.clone();
        if !era.is_empty() {
            let era = HeaderValue::from_str(&era).map_err(io::Error::other)?;
            response.headers_mut().insert("store-era", era);
        }
        if mode == EndpointMode::LosingResponses {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(response)
    }

    async fn run(&self, path: &str, req: Request<Incoming>) -> io::Result<StandinResponse> {
        let field = |name: &str| query::<String>(&req, name).unwrap_or_default();
        let prefix = field("pathPrefix");
        match path {
            "/v1/kv-range" => {
                let is_stale = field("serializable") == "1";
                let after = field("after");
                Ok(match self.store.range(&prefix, &after, is_stale) {
                    Some(mut page) => {
                        self.localise_all(&mut page["items"]);
                        text(StatusCode::OK, self.store.render(&page))
                    }
                    None => text(StatusCode::TOO_MANY_REQUESTS, ""),
                })
            }
            "/v1/kv-watch" => {
                let after = query(&req, "after").unwrap_or_default();
                let wait = Duration::from_millis(query(&req, "waitMs").unwrap_or_default());
                Ok(self.watch(&prefix, after, wait).await)
            }
            "/v1/kv-txn" => {
                let (status, body) = self.store.commit(&json_body(req).await?);
                Ok(text(status, body.to_string()))
            }
            "/v1/kv-lease" => {
                let body = json_body(req).await?;
                let granted = self.store.grant_lease(&body["ttlMs"]);
                Ok(text(StatusCode::OK, granted.to_string()))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "")),
        }
    }

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> StandinResponse {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.store.changed.notified();
            let Some((events, revision)) = self.store.changes(prefix, after) else {
                return text(StatusCode::GONE, "");
            };
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                let mut body = json!({"events": events, "storeRevision": revision});
                self.localise_all(&mut body["events"]);
                return text(StatusCode::OK, self.store.render(&body));
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
            // Lets changes made at the same time arrive in one response.
            sleep(Duration::from_millis(1)).await;
        }
    }
}
