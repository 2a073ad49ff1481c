//! Model check: hosts that hold copies of the same bills store each bill exactly once.

mod model;

use std::{collections::BTreeSet, sync::Arc};

use clementinearch_border::{BillRecord, LedgerPage};
use clementinearch_policy::ledger::PageId;
use clementinearch_storage::write_ledger_page;
use model::{Fault, ModelStore, check, finds_fault};
use shuttle::thread;

const WRITERS: usize = 3;
const PAGE: PageId = PageId { epoch: 1, shard: 2 };

fn bill(number: usize) -> BillRecord {
    BillRecord {
        id: number.to_string(),
        account: "one".to_owned(),
        model: "review@v1".to_owned(),
        prompt_tokens: 1,
        completion_tokens: 1,
        whole: true,
    }
}

fn scenario(fault: Fault) {
    let store = Arc::new(ModelStore::new(fault));
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let store = store.clone();
            thread::spawn(move || {
                // Each writer holds its own bill and a copy of the next writer's.
                let records = [bill(writer), bill((writer + 1) % WRITERS)];
                while write_ledger_page(&*store, PAGE, &records).is_err() {
                    thread::yield_now();
                }
            })
        })
        .collect();
    for writer in writers {
        writer.join().unwrap();
    }
    let text = store.value(&PAGE.key()).expect("the page is written");
    let page: LedgerPage = serde_json::from_str(&text).unwrap();
    let ids: BTreeSet<String> = page
        .records
        .iter()
        .map(|record| record.id.clone())
        .collect();
    assert_eq!(
        page.records.len(),
        ids.len(),
        "a bill is stored twice: {text}"
    );
    assert_eq!(ids.len(), WRITERS, "a bill is lost: {text}");
}

#[test]
fn each_bill_is_stored_once_under_all_explored_schedules() {
    check(|| scenario(Fault::None));
}

#[test]
fn the_checker_detects_lost_bills() {
    assert!(finds_fault(|| scenario(Fault::UnconditionalWrite)));
    assert!(finds_fault(|| scenario(Fault::FalseSuccess)));
}
