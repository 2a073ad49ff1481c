//! Entry hosts of earlier versions, built from the repository's history for tests of mixed fleets.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses a part"
)]

use std::{
    env,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

/// The last version whose hosts know no forwarded requests.
const WITHOUT_FORWARDING: &str = "4366648633b1d8d9f6bb27d13758f1ae840db097";

/// The first version whose hosts forward requests. They say nothing of it in their reports.
const WITH_FORWARDING: &str = "4c98a42fbd8272eba5508e78d124f2a0bbf9f74c";

/// Version of a host in a mixed fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    WithoutForwarding,
    WithForwarding,
    Present,
}

/// Versions of which hosts may run beside the present one.
pub const OLDER: [Version; 2] = [Version::WithoutForwarding, Version::WithForwarding];

impl Version {
    /// Path of the version's program.
    pub fn binary(self) -> PathBuf {
        match self {
            Self::WithoutForwarding => binary(WITHOUT_FORWARDING),
            Self::WithForwarding => binary(WITH_FORWARDING),
            Self::Present => PathBuf::from(env!("CARGO_BIN_EXE_clementinearch")),
        }
    }
}

/// Returns the binary of the entry host at a commit. Builds it first unless an earlier test has.
///
/// Panics if the commit is not in the history.
fn binary(commit: &str) -> PathBuf {
    let present = Path::new(env!("CARGO_BIN_EXE_clementinearch"));
    let target = present.ancestors().nth(2).unwrap();
    let older = target.join("older");
    let dir = older.join(commit);
    fs::create_dir_all(&dir).unwrap();
    // Tests run in parallel, in several processes.
    let lock = File::create(older.join("lock")).unwrap();
    lock.lock().unwrap();
    let binary = dir.join("clementinearch");
    if !binary.exists() {
        let source = dir.join("source");
        unpack(commit, &source);
        let built = build(&source, &older.join("build"));
        // A build that is interrupted leaves no binary that looks complete.
        let copy = dir.join("copy");
        fs::copy(built, &copy).unwrap();
        fs::rename(copy, &binary).unwrap();
    }
    binary
}

/// Writes the files of a commit to `dir`.
fn unpack(commit: &str, dir: &Path) {
    let _ = fs::remove_dir_all(dir);
    fs::create_dir_all(dir).unwrap();
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut archive = Command::new("git")
        .arg("-C")
        .arg(repository)
        .args(["archive", commit])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    // The builds of all versions share their target folder, where only later files count as changed.
    let unpacked = Command::new("tar")
        .args(["--extract", "--touch", "--directory"])
        .arg(dir)
        .stdin(archive.stdout.take().unwrap())
        .status();
    let is_read = archive.wait().unwrap().success() && unpacked.unwrap().success();
    assert!(
        is_read,
        "{} has no commit {commit}: tests of mixed fleets need the whole history, not a shallow clone",
        repository.display()
    );
}

/// Builds the entry host in `source` with a target folder of its own. Returns its path.
fn build(source: &Path, target: &Path) -> PathBuf {
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let built = Command::new(cargo)
        .current_dir(source)
        .args(["build", "--locked", "--package", "clementinearch"])
        .args(["--bin", "clementinearch", "--target-dir"])
        .arg(target)
        .stdin(Stdio::null())
        .status();
    assert!(
        built.unwrap().success(),
        "cannot build {}",
        source.display()
    );
    target.join("debug/clementinearch")
}
