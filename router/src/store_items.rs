//! Application of the store's items to a host's state. An item that cannot be read leaves all others
//! in force.

use std::panic::{AssertUnwindSafe, catch_unwind};

use clementinearch_policy::names::FastSet;
use clementinearch_storage::UnreadableItem;
use hyper::body::Bytes;

use crate::{dialect::StoreItem, host_state::HostState, servers::EntryChange, view::Update};

/// What became of an item's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Applied {
    /// It changed what peers need to know.
    Relevant,
    /// Peers need not know it: a server's heartbeat without a change.
    Irrelevant,
    /// It is older than what this host knows of the item.
    Outdated,
}

impl HostState {
    /// Applies updates of the store's items.
    pub(crate) fn apply_updates(&self, mut updates: Vec<Update>) {
        // Evacuations follow the servers that they concern. Requests see both after the refresh below.
        updates.sort_by_key(|update| self.schema.evacuated_zone(update.key()).is_some());
        let mut is_relevant = false;
        for update in updates {
            is_relevant |= self.apply_update(update);
        }
        self.servers.refresh();
        if is_relevant {
            self.view_changed.notify_waiters();
        }
    }

    /// Drops the servers that have no entry among all items of the view, and ends the evacuations that
    /// have no key there.
    pub(crate) fn drop_unlisted_servers(&self, items: &[Update]) {
        let keys = items.iter().map(Update::key);
        let listed: FastSet<&str> = keys
            .filter_map(|key| self.schema.server_name(key))
            .collect();
        let mut gone = self.servers.names();
        gone.retain(|name| !listed.contains(&**name));
        for name in gone {
            self.servers.remove(&name, self.now());
            self.log_event("server_gone", &name, "no entry", &[]);
        }
        let keys = items.iter().map(Update::key);
        let ordered: FastSet<&str> = keys
            .filter_map(|key| self.schema.evacuated_zone(key))
            .collect();
        for zone in self.evacuations.zones() {
            if !ordered.contains(&*zone) {
                self.end_evacuation(&zone, self.now());
            }
        }
    }

    /// Applies one update. Returns whether it is relevant to peers.
    fn apply_update(&self, update: Update) -> bool {
        match update {
            Update::Restored { key, value } if self.is_older_status(&key, &value) => true,
            Update::Written { key, value } | Update::Restored { key, value } => {
                let applied = self.apply_value(&key, &value).unwrap_or_else(|why| {
                    self.record_unreadable(&key, &why);
                    Applied::Relevant
                });
                match applied {
                    Applied::Relevant => self.view.lock().mark_relevant(&key),
                    Applied::Irrelevant => {}
                    Applied::Outdated => self.view.lock().withhold(&key),
                }
                applied == Applied::Relevant
            }
            Update::Lapsed { key } => {
                if let Some(name) = self.schema.server_name(&key) {
                    self.servers.mark_lapsed(name);
                    self.log_event("server_doubtful", name, "entry lapsed", &[]);
                }
                if let Some(service) = self.schema.status_service(&key) {
                    self.rollouts.record_lost_status(service);
                }
                if let Some(block) = self.schema.block(&key) {
                    // Whoever knows of it writes it again.
                    self.stored_blocks.record_removed(block);
                }
                false
            }
            Update::Removed { key } => {
                if let Some(name) = self.schema.server_name(&key)
                    && let Some(server) = self.servers.remove_unlisted(name, self.now())
                {
                    self.log_event("server_gone", name, "entry removed", &[]);
                    self.unfinished_attempts.on_removal(server, self.now());
                }
                if let Some(block) = self.schema.block(&key) {
                    self.record_removed_block(block);
                }
                if let Some(zone) = self.schema.evacuated_zone(&key) {
                    self.end_evacuation(zone, self.now());
                }
                true
            }
        }
    }

    /// Whether the store came back with a status of a rollout that has ended since. The status that
    /// it lost is then due again.
    fn is_older_status(&self, key: &str, value: &Bytes) -> bool {
        if self.schema.status_service(key).is_none() {
            return false;
        }
        let status = self.read_item(key, value);
        matches!(status, Ok(StoreItem::RolloutStatus(status)) if self.rollouts.outlasts(&status))
    }

    fn apply_value(&self, key: &str, value: &Bytes) -> Result<Applied, String> {
        let apply = || self.read_item(key, value).map(|item| self.apply_item(item));
        // Locks are released as the panic passes, and the next items are applied.
        catch_unwind(AssertUnwindSafe(apply)).unwrap_or_else(|_| Err("it panicked".to_owned()))
    }

    fn read_item(&self, key: &str, value: &Bytes) -> Result<StoreItem, String> {
        let item = self.schema.read(key, value)?;
        if let StoreItem::Server(entry) = &item
            && self.settings.listen.all().contains(&entry.address)
        {
            return Err(format!("address {} is this host's own", entry.address));
        }
        Ok(item)
    }

    /// Records that an item cannot be read. If it is a server's entry, the server is not used; of any
    /// other item the last value that could be read stays in force.
    fn record_unreadable(&self, key: &str, why: &str) {
        if let Some(name) = self.schema.server_name(key) {
            self.servers.remove(name, self.now());
        }
        self.log_event("item_unreadable", key, why, &[]);
    }

    /// Logs items that are not even items.
    pub(crate) fn log_unreadable(&self, items: &[UnreadableItem]) {
        for item in items {
            self.log_event("item_unreadable", &item.key, &item.why, &[]);
        }
    }

    fn apply_item(&self, item: StoreItem) -> Applied {
        let now = self.now();
        match item {
            StoreItem::Routing(table) => self.install_table(table),
            StoreItem::Server(entry) => {
                let name = entry.name.clone();
                let version = entry.version.clone();
                let known = self.servers.get(&name);
                let is_other_start = self.servers.names_other_start(&entry);
                // Servers that are found at the host's own start have been running for long.
                let is_first = self.servers.pool(&entry.service).is_empty();
                let change = self.servers.update(entry, now);
                if let (EntryChange::Restarted, Some(known)) = (change, known) {
                    self.record_crashes(self.unfinished_attempts.on_restart(&known, now));
                }
                match change {
                    EntryChange::New | EntryChange::Restarted => {
                        self.log_event("server_ready", &name, &version, &[])
                    }
                    EntryChange::Draining => {
                        self.log_event("server_draining", &name, &version, &[])
                    }
                    EntryChange::Outdated => {
                        self.log_event("server_entry_outdated", &name, &version, &[]);
                    }
                    EntryChange::Updated | EntryChange::ColdTime | EntryChange::Unchanged => {}
                }
                let may_be_cold = change != EntryChange::Unchanged;
                if may_be_cold && let Some(server) = self.servers.get(&name) {
                    let is_other_start = is_other_start && change != EntryChange::Outdated;
                    self.record_entry_cold(&server, is_other_start, now);
                }
                let starts = match change {
                    EntryChange::New if !is_first => Some("new"),
                    EntryChange::Restarted => Some("restarted"),
                    _ => None,
                };
                if let (Some(why), Some(server)) = (starts, self.servers.get(&name)) {
                    self.begin_ramp(&server, why, now);
                }
                return match change {
                    EntryChange::Outdated => Applied::Outdated,
                    EntryChange::Unchanged => Applied::Irrelevant,
                    _ => Applied::Relevant,
                };
            }
            StoreItem::Evacuation(zone) => self.evacuate(zone),
            StoreItem::RolloutOrder(order) => {
                let (service, target) = (order.service.clone(), order.target.clone());
                if self.rollouts.accept_order(order, now) {
                    self.log_event("rollout_ordered", &service, &target, &[]);
                }
            }
            StoreItem::RolloutStatus(status) => {
                if self.record_rollout_status(&status, now) {
                    let rollout_state = status.state.label();
                    self.log_event("rollout_status", &status.service, rollout_state, &[]);
                }
            }
            StoreItem::Host { name, address } => {
                let hosts = self.fleet.lock().add_host(name, address);
                self.rollouts.set_fleet_size(hosts);
            }
            StoreItem::Block(block) => self.record_stored_block(block),
            StoreItem::Other => return Applied::Irrelevant,
        }
        Applied::Relevant
    }
}
