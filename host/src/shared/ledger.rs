//! Bills: held by two hosts before an answer ends, then merged into pages in the store.

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
use clementinearch_storage::{self as platform, Store, StoreError};
use tokio::runtime::Handle;

use crate::{
    clock,
    host_state::HostState,
    peers::clients::{PeerClients, call_context},
    shared::backlog::Backlog,
};

/// Hosts that hold a bill until it is in the store.
const COPIES: usize = 2;

/// The bills that this host holds.
pub(crate) struct Ledger {
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    held: Backlog,
    /// Whether the bills were handed over: whoever offers one now must find another holder.
    is_closed: AtomicBool,
}

impl Ledger {
    /// A ledger that holds nothing.
    pub(crate) fn new(state: Arc<HostState>, clients: Arc<PeerClients>) -> Self {
        Self {
            state,
            clients,
            held: Backlog::default(),
            is_closed: AtomicBool::default(),
        }
    }

    /// Hosts that hold the bills of `page`, the one that writes them first.
    fn owners(&self, page: &PageId) -> Vec<Name> {
        let members = self.state.members.lock();
        let zone = members.in_zone(&self.state.settings.zone);
        rendezvous(&format!("ledger-{}", page.shard), zone.iter(), COPIES)
    }

    /// Has the bill held by its owners. Returns when each of them has it or failed to take it;
    /// without any, this host holds it alone.
    pub(crate) async fn hold(&self, bill: BillRecord) {
        let Some(page) = PageId::of_record(&bill) else {
            return;
        };
        let owners = self.owners(&page);
        let copies = owners.iter().map(|owner| self.hold_at(owner, &bill));
        let taken = futures::future::join_all(copies).await;
        let copies = taken.iter().filter(|taken| **taken).count();
        if copies < COPIES {
            metrics::counter!("clementinearch_bills_held_once_total").increment(1);
        }
        if copies < COPIES && !owners.contains(&self.state.settings.name) {
            self.take(vec![bill]);
        }
    }

    async fn hold_at(&self, owner: &Name, bill: &BillRecord) -> bool {
        if *owner == self.state.settings.name {
            return self.take(vec![bill.clone()]);
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

    /// Takes bills into memory, each once. Returns false if this host has handed its bills over.
    pub(crate) fn take(&self, bills: Vec<BillRecord>) -> bool {
        if self.is_closed.load(Ordering::SeqCst) {
            return false;
        }
        let now = clock::now();
        for bill in bills {
            if let Some(page) = PageId::of_record(&bill) {
                self.held.add(page, &bill, now);
            }
        }
        // A hand-over that began meanwhile may have missed them.
        !self.is_closed.load(Ordering::SeqCst)
    }

    /// Forgets bills that another host wrote.
    pub(crate) fn forget(&self, page: PageId, ids: &[String]) {
        self.held.remove(page, ids);
    }

    /// Writes what is due, period after period.
    pub(crate) fn run(&self, store: &dyn Store, runtime: &Handle) {
        loop {
            std::thread::sleep(self.state.settings.ledger_period);
            self.write_due(store, runtime, false);
            metrics::gauge!("clementinearch_ledger_pages_held").set(self.held.pages().len() as f64);
        }
    }

    /// Writes the pages that are due; with `all`, every page.
    pub(crate) fn write_due(&self, store: &dyn Store, runtime: &Handle, all: bool) {
        let now = clock::now();
        for page in self.pages_due(now, all) {
            if let Err(e) = self.write_page(store, runtime, page) {
                metrics::counter!("clementinearch_store_failures_total", "purpose" => "ledger")
                    .increment(1);
                log::debug!("ledger: {e}");
                // The others wait for the next period: the store gives no answers now.
                return;
            }
        }
    }

    fn pages_due(&self, now: Millis, all: bool) -> Vec<PageId> {
        let mut pages = self.held.pages();
        let period = self.state.settings.ledger_period;
        pages.retain(|(page, oldest)| {
            let is_first = self.owners(page).first() == Some(&self.state.settings.name);
            all || is_write_due(page, *oldest, is_first, period, now)
        });
        pages.sort();
        pages.into_iter().map(|(page, _)| page).collect()
    }

    /// Merges this host's bills into the page in the store.
    fn write_page(
        &self,
        store: &dyn Store,
        runtime: &Handle,
        page: PageId,
    ) -> Result<(), StoreError> {
        let records = self.held.records(&page);
        let written = platform::write_ledger_page(store, page, &records)?;
        metrics::counter!("clementinearch_ledger_conflicts_total")
            .increment(written.conflicts as u64);
        metrics::counter!("clementinearch_bills_written_total").increment(written.added as u64);
        let ids: Vec<String> = records.into_iter().map(|record| record.id).collect();
        self.forget(page, &ids);
        self.tell_other_owners(runtime, page, ids);
        Ok(())
    }

    /// Lets the other holders forget what is written. If the word is lost they write it again, to no effect.
    fn tell_other_owners(&self, runtime: &Handle, page: PageId, ids: Vec<String>) {
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

    /// Hands all held bills to other hosts of the zone, at a planned stop. Returns how many found no taker.
    pub(crate) async fn hand_over(&self) -> usize {
        self.is_closed.store(true, Ordering::SeqCst);
        let mut left = 0;
        for (page, _) in self.held.pages() {
            let bills = self.held.records(&page);
            let mut taken = false;
            for heir in self
                .owners(&page)
                .iter()
                .filter(|heir| **heir != self.state.settings.name)
            {
                taken |= self.send_to(heir, bills.clone()).await;
            }
            left += if taken { 0 } else { bills.len() };
        }
        left
    }
}
