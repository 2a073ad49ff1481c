//! Bills in memory until they are in the store, in few bytes each: an outage may last for hours.

use clementinearch_border::BillRecord;
use clementinearch_policy::{
    ledger::PageId,
    names::{FastMap, FastSet},
    request_id::RequestId,
    time::Millis,
};
use parking_lot::Mutex;

use crate::sharded::Sharded;

/// What many bills have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Subject {
    account: String,
    model: String,
    whole: bool,
}

/// One bill: 32 bytes.
#[derive(Clone, Copy, Debug)]
struct CompactBill {
    id: u128,
    subject: u32,
    prompt_tokens: u32,
    completion_tokens: u32,
}

struct HeldPage {
    oldest: Millis,
    bills: Vec<CompactBill>,
}

#[derive(Default)]
struct Subjects {
    numbers: FastMap<Subject, u32>,
    list: Vec<Subject>,
}

/// The bills that a host holds.
#[derive(Default)]
pub(crate) struct Backlog {
    pages: Sharded<PageId, HeldPage>,
    subjects: Mutex<Subjects>,
}

impl Backlog {
    /// Adds a bill unless its account's id is there already. A malformed id is left out.
    pub(crate) fn add(&self, page: PageId, record: &BillRecord, now: Millis) {
        let Some(id) = RequestId::parse_any_age(&record.id).map(|id| id.number()) else {
            return;
        };
        let subject = self.number_of(record);
        let account_of = |bill: &CompactBill| self.subject(bill.subject).account;
        let mut shard = self.pages.lock(&page);
        let held = shard.entry(page).or_insert_with(|| HeldPage {
            oldest: now,
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
            subject,
            prompt_tokens: record.prompt_tokens,
            completion_tokens: record.completion_tokens,
        });
    }

    fn number_of(&self, record: &BillRecord) -> u32 {
        let subject = Subject {
            account: record.account.clone(),
            model: record.model.clone(),
            whole: record.whole,
        };
        let mut subjects = self.subjects.lock();
        if let Some(number) = subjects.numbers.get(&subject) {
            return *number;
        }
        let number = subjects.list.len() as u32;
        subjects.list.push(subject.clone());
        subjects.numbers.insert(subject, number);
        number
    }

    fn subject(&self, number: u32) -> Subject {
        self.subjects.lock().list[number as usize].clone()
    }

    /// Pages with bills, and since when the oldest bill of each is held.
    pub(crate) fn pages(&self) -> Vec<(PageId, Millis)> {
        let mut pages = Vec::new();
        for shard in self.pages.shards() {
            pages.extend(shard.lock().iter().map(|(page, held)| (*page, held.oldest)));
        }
        pages
    }

    /// The bills of a page.
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
        let subject = self.subject(bill.subject);
        BillRecord {
            id: RequestId::from_number(bill.id).simple(),
            account: subject.account,
            model: subject.model,
            prompt_tokens: bill.prompt_tokens,
            completion_tokens: bill.completion_tokens,
            whole: subject.whole,
        }
    }

    /// Forgets bills of a page.
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
