//! Configuration lists on disk: one TOML file per item, in one folder per kind of item.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use clementinearch_border::HeadItem;
use clementinearch_policy::{
    catalogue::{Advance, Bodies, Catalogue, check_item},
    config_head::empty_head,
    findings::Findings,
    names::digest_hex,
};

use crate::error::Error;

/// Folders of a directory of lists, named after the kinds of items.
const KINDS: [&str; 3] = ["model", "plan", "service"];

/// Maximum size of a value in the store, bytes.
const MAX_ITEM_BYTES: usize = 1 << 20;

/// Texts of items by item name, such as `plan/studio`.
pub(crate) type Items = BTreeMap<String, String>;

/// Reads and checks the files `DIR/{model,plan,service}/NAME.toml`.
///
/// # Errors
///
/// Returns an error for the first unreadable file, or the findings of all files together.
pub(crate) fn read(dir: &Path) -> Result<Items, Error> {
    let mut items = Items::new();
    let mut findings = Findings::default();
    for kind in KINDS {
        for path in toml_files(&dir.join(kind))? {
            let text = fs::read_to_string(&path).map_err(|source| Error::Read {
                path: path.clone(),
                source,
            })?;
            let stem = path.file_stem().unwrap_or_default().to_string_lossy();
            let item = format!("{kind}/{stem}");
            if text.len() > MAX_ITEM_BYTES {
                findings.add(
                    &path.display().to_string(),
                    format!("is over {MAX_ITEM_BYTES} bytes"),
                );
            }
            if let Err(found) = check_item(&item, &path.display().to_string(), &text) {
                findings.0.extend(found.0);
            }
            items.insert(item, text);
        }
    }
    if items.is_empty() && findings.0.is_empty() {
        findings.add(
            &dir.display().to_string(),
            "holds no model/*.toml, plan/*.toml or service/*.toml",
        );
    }
    if findings.0.is_empty() {
        findings = check_references(dir, &items);
    }
    Ok(findings.into_result(items)?)
}

/// Returns the findings that concern several lists: references to names that no list defines, and
/// accounts that belong to two plans.
fn check_references(dir: &Path, items: &Items) -> Findings {
    let mut bodies = Bodies::default();
    let mut head = empty_head();
    head.revision = 1;
    for (item, text) in items {
        let digest = digest_hex(text.as_bytes());
        bodies.insert(digest.clone(), text.as_str().into());
        head.items.insert(
            item.clone(),
            HeadItem {
                revision: 1,
                digest,
            },
        );
    }
    let Advance::Applied(catalogue) = Catalogue::advance(None, Arc::new(head), &bodies, &[]) else {
        return Findings::default();
    };
    let mut findings = catalogue.findings().clone();
    for finding in &mut findings.0 {
        finding.location.source = dir
            .join(format!("{}.toml", finding.location.source))
            .display()
            .to_string();
    }
    findings
}

/// Returns the sorted paths of the TOML files in `folder`; none if it does not exist.
fn toml_files(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let failed = |source| Error::Read {
        path: folder.to_owned(),
        source,
    };
    let entries = match fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(failed(e)),
    };
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(failed)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
