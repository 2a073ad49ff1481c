//! Bills held in memory until they are in the store. Each takes few bytes, since an outage of the
//! store may last for hours.

use clementinearch_border::BillRecord;
use clementinearch_policy::{
    ledger::PageId,
    names::{FastMap, FastSet},
    request_id::RequestId,
    time::Millis,
};
use parking_lot::Mutex;

use crate::sharded::Sharded;

/// Fields that many bills have in common, stored once for all of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommonFields {
    account: String,
    model: String,
    whole: bool,
}

/// One bill: 32 bytes.
#[derive(Clone, Copy, Debug)]
struct CompactBill {
    id: u128,
    /// Number of the bill's [`CommonFields`].
    common: u32,
    prompt_tokens: u32,
    completion_tokens: u32,
}

/// Bills of one page of the ledger.
struct HeldPage {
    /// Time at which the first of the bills was added.
    held_since: Millis,
    bills: Vec<CompactBill>,
}

/// Numbers the distinct values of [`CommonFields`].
#[derive(Default)]
struct Interner {
    numbers: FastMap<CommonFields, u32>,
    /// Values by their numbers.
    list: Vec<CommonFields>,
}

/// Bills that this host holds, by ledger page.
#[derive(Default)]
pub(crate) struct Backlog {
    pages: Sharded<PageId, HeldPage>,
    common_fields: Mutex<Interner>,
}

impl Backlog {
    /// Adds a bill, unless one of the same account and id is held. A bill with a malformed id is
    /// ignored.
    pub(crate) fn add(&self, page: PageId, record: &BillRecord, now: Millis) {
        let Some(id) = RequestId::parse_any_age(&record.id).map(|id| id.number()) else {
            return;
        };
        let common = self.intern(record);
        let account_of = |bill: &CompactBill| self.fields(bill.common).account;
        let mut shard = self.pages.lock(&page);
        let held = shard.entry(page).or_insert_with(|| HeldPage {
            held_since: now,
            bills: Vec::new(),
        });
        if held
            .bills
            .iter()
            .any(|bill| bill.id == id && account_of(bill) == record.account)
        {
            return;
        }
        held.bills.reserve_exact(1);
        held.bills.push(CompactBill {
            id,
            common,
            prompt_tokens: record.prompt_tokens,
            completion_tokens: record.completion_tokens,
        });
    }

    /// Returns the number of a bill's common fields, which are stored if they are new.
    fn intern(&self, record: &BillRecord) -> u32 {
        let fields = CommonFields {
            account: record.account.clone(),
            model: record.model.clone(),
            whole: record.whole,
        };
        let mut common_fields = self.common_fields.lock();
        if let Some(number) = common_fields.numbers.get(&fields) {
            return *number;
        }
        let number = common_fields.list.len() as u32;
        common_fields.list.push(fields.clone());
        common_fields.numbers.insert(fields, number);
        number
    }

    fn fields(&self, number: u32) -> CommonFields {
        self.common_fields.lock().list[number as usize].clone()
    }

    /// Returns the pages with bills, and the time since which each has held its first bill.
    pub(crate) fn pages(&self) -> Vec<(PageId, Millis)> {
        let mut pages = Vec::new();
        for shard in self.pages.shards() {
            pages.extend(
                shard
                    .lock()
                    .iter()
                    .map(|(page, held)| (*page, held.held_since)),
            );
        }
        pages
    }

    /// Returns the bills of a page.
    pub(crate) fn records(&self, page: &PageId) -> Vec<BillRecord> {
        let bills = self
            .pages
            .lock(page)
            .get(page)
            .map(|held| held.bills.clone())
            .unwrap_or_default();
        bills.into_iter().map(|bill| self.record(&bill)).collect()
    }

    fn record(&self, bill: &CompactBill) -> BillRecord {
        let fields = self.fields(bill.common);
        BillRecord {
            id: RequestId::from_number(bill.id).simple(),
            account: fields.account,
            model: fields.model,
            prompt_tokens: bill.prompt_tokens,
            completion_tokens: bill.completion_tokens,
            whole: fields.whole,
        }
    }

    /// Removes the bills with these ids from a page.
    pub(crate) fn remove(&self, page: PageId, ids: &[String]) {
        let ids: FastSet<u128> = ids
            .iter()
            .filter_map(|id| RequestId::parse_any_age(id))
            .map(|id| id.number())
            .collect();
        let mut shard = self.pages.lock(&page);
        let Some(held) = shard.get_mut(&page) else {
            return;
        };
        held.bills.retain(|bill| !ids.contains(&bill.id));
        if held.bills.is_empty() {
            shard.remove(&page);
        }
    }
}
