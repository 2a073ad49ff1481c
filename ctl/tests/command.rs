//! `clemctl` run against an in-memory store.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    sync::Arc,
};

use clementinearch_standins::{
    memory_store::{Faults, MemoryStore},
    store_server,
};

fn clemctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_clemctl"))
        .args(args)
        .output()
        .unwrap()
}

fn lists(name: &str, files: &[(&str, &str)]) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    for (file, text) in files {
        let path = dir.join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
    dir.display().to_string()
}

/// Starts a store on a loopback address that depends on `number` and the process id.
fn store(number: u8) -> (Arc<MemoryStore>, String) {
    let process = std::process::id();
    let address = SocketAddr::from((
        [
            127,
            220 + number,
            (process / 256 % 256) as u8,
            (process % 256) as u8,
        ],
        2379,
    ));
    let store = Arc::new(MemoryStore::new());
    store_server::serve(store.clone(), address).unwrap();
    (store, address.to_string())
}

const MODEL: &str = "pool = \"reviewers\"\n[[version]]\nname = \"v1\"\nstate = \"established\"\n";

#[test]
fn check_reports_all_findings_with_file_line_and_field() {
    let dir = lists(
        "bad-lists",
        &[
            (
                "model/review.toml",
                "pool = \"reviewers\"\n[[version]]\nname = \"v1\"\nstate = \"ready\"\n",
            ),
            ("plan/one.toml", "extra = 1\n[[account]]\nname = \"a b\"\n"),
        ],
    );
    let output = clemctl(&["check", &dir]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for expected in [
        "model/review.toml:4: version[0].state: `ready` is none of",
        "plan/one.toml:3: account[0].name: `a b` is not a name",
        "plan/one.toml:2: account[0].key_sha256: is missing",
        "plan/one.toml:1: extra: unknown field",
    ] {
        assert!(text.contains(expected), "{expected} is not in:\n{text}");
    }
}

#[test]
fn check_reports_references_between_lists_and_lists_that_are_too_large() {
    let account =
        "[[account]]\nname = \"studio\"\nkey_sha256 = \"KEY\"\n".replace("KEY", &"0".repeat(64));
    let one = format!(
        "services = [\"queue\"]\n{account}[[allow]]\nmodel = \"review\"\nversions = [\"v1\", \"v9\"]\n"
    );
    let dir = lists(
        "crossed-lists",
        &[
            ("model/review.toml", MODEL),
            ("plan/one.toml", &one),
            ("plan/two.toml", &account),
        ],
    );
    let output = clemctl(&["check", &dir]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for expected in [
        "plan/one.toml: model `review` has no version `v9`",
        "plan/one.toml: service `queue` is not listed",
        "plan/two.toml: account `studio` or its key already belongs to plan `one`",
    ] {
        assert!(text.contains(expected), "{expected} is not in:\n{text}");
    }
    let large = format!("{MODEL}# {}\n", "x".repeat(1 << 20));
    let output = clemctl(&[
        "check",
        &lists("large-lists", &[("model/review.toml", &large)]),
    ]);
    assert!(
        String::from_utf8_lossy(&output.stderr)
            .contains("model/review.toml: is over 1048576 bytes")
    );
}

#[test]
fn an_edit_is_retried_under_the_same_edit_id_after_a_lost_answer() {
    let (store, address) = store(0);
    let dir = lists("good-lists", &[("model/review.toml", MODEL)]);
    let apply = || clemctl(&["apply", &dir, "--store", &address, "--edit-id", "edit-1"]);
    let lost_then_down = Faults {
        lose_answers: 1,
        down_after_lost: true,
        ..Faults::default()
    };
    // The first run loses the response to the body's write, the second the response to the head's
    // write; each time the store is down afterwards.
    for accepted in [0, 1] {
        store.set_faults(lost_then_down.clone());
        let unanswered = apply();
        assert_eq!(unanswered.status.code(), Some(4), "{unanswered:?}");
        assert!(
            String::from_utf8_lossy(&unanswered.stderr).contains("--edit-id edit-1"),
            "{unanswered:?}"
        );
        assert_eq!(store.dump("config/head").len(), accepted);
    }
    store.set_faults(Faults::default());
    let second = apply();
    assert!(
        String::from_utf8_lossy(&second.stdout).starts_with("already accepted: revision 1"),
        "{second:?}"
    );
    // If the store stays up after a lost response, a single run resolves the outcome.
    store.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let third = apply();
    assert!(
        String::from_utf8_lossy(&third.stdout).starts_with("already accepted: revision 1"),
        "{third:?}"
    );
    assert_eq!(store.dump("config/head").len(), 1);
}

#[test]
fn an_item_changed_since_the_expected_revision_is_a_conflict() {
    let (_store, address) = store(1);
    let dir = lists("first-lists", &[("model/review.toml", MODEL)]);
    assert!(
        clemctl(&["apply", &dir, "--store", &address])
            .status
            .success()
    );
    let draining = MODEL.replace("established", "draining");
    let other = lists("second-lists", &[("model/review.toml", &draining)]);
    let late = clemctl(&["apply", &other, "--store", &address, "--expect", "0"]);
    assert_eq!(late.status.code(), Some(3), "{late:?}");
    assert!(
        clemctl(&["apply", &other, "--store", &address, "--expect", "1"])
            .status
            .success()
    );
    let diff = clemctl(&["diff", &dir, "--store", &address]);
    assert_eq!(diff.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&diff.stdout).contains("+state = \"established\""),
        "{diff:?}"
    );
    let history = clemctl(&["history", "--store", &address, "--json"]);
    assert!(
        String::from_utf8_lossy(&history.stdout).contains("\"revision\":2"),
        "{history:?}"
    );
}
