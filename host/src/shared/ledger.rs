//! Ledger of bills: each bill is replicated to two hosts before the response ends, and later merged
//! into a page in the store.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use clementinearch_border::BillRecord;
use clementinearch_policy::{
    ledger::{PageId, is_write_due},
    names::{Name, rendezvous},
    time::Millis,
};
use clementinearch_storage::{self as storage, Store, StoreError};
use tokio::runtime::Handle;

use crate::{
    clock,
    host_state::HostState,
    peers::clients::{PeerClients, call_context},
    shared::backlog::Backlog,
};

/// Number of hosts that hold a bill until it is in the store.
const REPLICAS: usize = 2;

/// Bills that this host holds, and their replication to other hosts.
pub(crate) struct Ledger {
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    backlog: Backlog,
    /// Whether this host has handed its bills over and accepts no more.
    is_closed: AtomicBool,
}

impl Ledger {
    /// Creates an empty ledger.
    pub(crate) fn new(state: Arc<HostState>, clients: Arc<PeerClients>) -> Self {
        Self {
            state,
            clients,
            backlog: Backlog::default(),
            is_closed: AtomicBool::default(),
        }
    }

    /// Returns the hosts that hold the bills of `page`. The first of them writes the page.
    fn owners(&self, page: &PageId) -> Vec<Name> {
        let members = self.state.members.lock();
        let zone = members.in_zone(&self.state.settings.zone);
        rendezvous(&format!("ledger-{}", page.shard), zone.iter(), REPLICAS)
    }

    /// Sends the bill to its owners and waits until each has accepted it or failed. If fewer than
    /// [`REPLICAS`] hosts accepted it, this host keeps the bill too.
    pub(crate) async fn replicate(&self, bill: BillRecord) {
        let Some(page) = PageId::of_record(&bill) else {
            return;
        };
        let owners = self.owners(&page);
        let sends = owners.iter().map(|owner| self.replicate_to(owner, &bill));
        let accepted = futures::future::join_all(sends).await;
        let replicas = accepted.iter().filter(|accepted| **accepted).count();
        if replicas < REPLICAS {
            metrics::counter!("clementinearch_bills_held_once_total").increment(1);
        }
        if replicas < REPLICAS && !owners.contains(&self.state.settings.name) {
            self.accept(vec![bill]);
        }
    }

    async fn replicate_to(&self, owner: &Name, bill: &BillRecord) -> bool {
        if *owner == self.state.settings.name {
            return self.accept(vec![bill.clone()]);
        }
        self.send_to(owner, vec![bill.clone()]).await
    }

    async fn send_to(&self, owner: &Name, bills: Vec<BillRecord>) -> bool {
        let Some(address) = self.state.peer_address(owner) else {
            return false;
        };
        let call = self.clients.call(&address, |peer| async move {
            peer.hold_bills(call_context(), bills).await
        });
        call.await.unwrap_or(false)
    }

    /// Stores bills in memory, each once. Returns whether they were accepted; after the hand-over
    /// they are not.
    pub(crate) fn accept(&self, bills: Vec<BillRecord>) -> bool {
        if self.is_closed.load(Ordering::SeqCst) {
            return false;
        }
        let now = clock::now();
        for bill in bills {
            if let Some(page) = PageId::of_record(&bill) {
                self.backlog.add(page, &bill, now);
            }
        }
        // A hand-over that started in the meantime may have missed these bills.
        !self.is_closed.load(Ordering::SeqCst)
    }

    /// Removes bills that another host has written to the store.
    pub(crate) fn forget(&self, page: PageId, ids: &[String]) {
        self.backlog.remove(page, ids);
    }

    /// Writes the due pages once in each ledger period, without end.
    pub(crate) fn run(&self, store: &dyn Store, runtime: &Handle) {
        loop {
            std::thread::sleep(self.state.settings.ledger_period);
            self.write_due(store, runtime, false);
            metrics::gauge!("clementinearch_ledger_pages_held")
                .set(self.backlog.pages().len() as f64);
        }
    }

    /// Writes the pages that are due, or all pages if `all` is set.
    pub(crate) fn write_due(&self, store: &dyn Store, runtime: &Handle, all: bool) {
        let now = clock::now();
        for page in self.due_pages(now, all) {
            if let Err(e) = self.write_page(store, runtime, page) {
                metrics::counter!("clementinearch_store_failures_total", "purpose" => "ledger")
                    .increment(1);
                log::debug!("a ledger page could not be written: {e}");
                // The store is likely unavailable: the remaining pages wait for the next period.
                return;
            }
        }
    }

    fn due_pages(&self, now: Millis, all: bool) -> Vec<PageId> {
        let mut pages = self.backlog.pages();
        let period = self.state.settings.ledger_period;
        pages.retain(|(page, oldest)| {
            let is_writer = self.owners(page).first() == Some(&self.state.settings.name);
            all || is_write_due(page, *oldest, is_writer, period, now)
        });
        pages.sort();
        pages.into_iter().map(|(page, _)| page).collect()
    }

    /// Merges this host's bills into a page in the store and drops them from memory here and at the
    /// other owners.
    ///
    /// # Errors
    ///
    /// Returns an error if the page can't be read or written; the bills are kept then.
    fn write_page(
        &self,
        store: &dyn Store,
        runtime: &Handle,
        page: PageId,
    ) -> Result<(), StoreError> {
        let records = self.backlog.records(&page);
        let written = storage::write_ledger_page(store, page, &records)?;
        metrics::counter!("clementinearch_ledger_conflicts_total")
            .increment(written.conflicts as u64);
        metrics::counter!("clementinearch_bills_written_total").increment(written.added as u64);
        let ids: Vec<String> = records.into_iter().map(|record| record.id).collect();
        self.forget(page, &ids);
        self.notify_other_owners(runtime, page, ids);
        Ok(())
    }

    /// Notifies the other owners that bills are written, so that they drop them. If a message is lost,
    /// they merge the bills into the page again, which changes nothing.
    fn notify_other_owners(&self, runtime: &Handle, page: PageId, ids: Vec<String>) {
        for owner in self.owners(&page) {
            if owner == self.state.settings.name {
                continue;
            }
            let Some(address) = self.state.peer_address(&owner) else {
                continue;
            };
            let (clients, ids) = (self.clients.clone(), ids.clone());
            runtime.spawn(async move {
                let call = clients.call(&address, |peer| async move {
                    peer.forget_bills(call_context(), page.epoch, page.shard, ids)
                        .await
                });
                let _ = call.await;
            });
        }
    }

    /// Sends all bills to other hosts of the zone, during graceful shutdown. Returns the number of
    /// bills that no host accepted.
    pub(crate) async fn hand_over(&self) -> usize {
        self.is_closed.store(true, Ordering::SeqCst);
        let mut unaccepted = 0;
        for (page, _) in self.backlog.pages() {
            let bills = self.backlog.records(&page);
            let mut is_accepted = false;
            for successor in self
                .owners(&page)
                .iter()
                .filter(|successor| **successor != self.state.settings.name)
            {
                is_accepted |= self.send_to(successor, bills.clone()).await;
            }
            unaccepted += if is_accepted { 0 } else { bills.len() };
        }
        unaccepted
    }
}
