//! Model check: concurrent edits are accepted exactly once each, in one order, and the revision
//! that a reader applies never decreases.

mod model;

use std::sync::Arc;

use clementinearch_border::Head;
use clementinearch_policy::{
    catalogue::{Advance, Bodies, Catalogue},
    config_head::HEAD_KEY,
    time::Millis,
};
use clementinearch_storage::{EditError, EditOutcome, ItemWrite, Purpose, Store, write_edit};
use model::{Fault, ModelStore, check, finds_fault};
use shuttle::thread;

const WRITERS: usize = 3;

/// Writes an item of its own and one shared by all writers, retrying the edit until it is accepted.
fn run_writer(writer: usize, store: &ModelStore) -> u64 {
    let write = |item: String| ItemWrite {
        item,
        text: Some(format!("pool = \"p{writer}\"\n")),
        expected: None,
    };
    let writes = [
        write(format!("service/own-{writer}")),
        write("service/shared".to_owned()),
    ];
    loop {
        match write_edit(store, &format!("edit-{writer}"), &writes, Millis(1)) {
            Ok(EditOutcome::Accepted { revision } | EditOutcome::AlreadyAccepted { revision }) => {
                return revision;
            }
            Ok(EditOutcome::Unchanged { .. }) => panic!("each edit changes something"),
            Err(EditError::Store(_) | EditError::Contended { .. }) => thread::yield_now(),
            Err(e) => panic!("{e}"),
        }
    }
}

/// Applies each head that it reads and asserts that the applied revision never decreases.
fn run_reader(store: &ModelStore) {
    let mut current: Option<Catalogue> = None;
    for _ in 0..6 {
        let Ok(Some(found)) = store.get(HEAD_KEY, Purpose::Config) else {
            continue;
        };
        let head: Head = serde_json::from_str(&found.value).unwrap();
        let before = current.as_ref().map_or(0, Catalogue::revision);
        if let Advance::Applied(next) =
            Catalogue::advance(current.as_ref(), Arc::new(head), &Bodies::default(), &[])
        {
            assert!(next.revision() > before || !next.findings().0.is_empty());
            current = Some(*next);
        }
    }
}

fn scenario(fault: Fault) {
    let store = Arc::new(ModelStore::new(fault));
    let reader = {
        let store = store.clone();
        thread::spawn(move || run_reader(&store))
    };
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let store = store.clone();
            thread::spawn(move || run_writer(writer, &store))
        })
        .collect();
    let mut revisions: Vec<u64> = writers
        .into_iter()
        .map(|writer| writer.join().unwrap())
        .collect();
    reader.join().unwrap();
    revisions.sort_unstable();
    let head: Head = serde_json::from_str(&store.value(HEAD_KEY).unwrap()).unwrap();
    let accepted: Vec<u64> = head.edits.iter().map(|edit| edit.revision).collect();
    let expected: Vec<u64> = (1..=WRITERS as u64).collect();
    assert_eq!(
        (&revisions, &accepted),
        (&expected, &expected),
        "an edit was lost or accepted twice"
    );
    assert_eq!(head.items["service/shared"].revision, head.revision);
}

#[test]
fn each_edit_is_accepted_once_under_all_explored_schedules() {
    check(|| scenario(Fault::None));
}

#[test]
fn the_checker_detects_lost_edits() {
    assert!(finds_fault(|| scenario(Fault::UnconditionalWrite)));
    assert!(finds_fault(|| scenario(Fault::FalseSuccess)));
}
