//! The lists that operators write: one TOML file an item, in folders by kind.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

use clementinearch_policy::{catalogue::check_item, findings::Findings};

use crate::error::Error;

/// Folders of a directory of lists; each names a kind of item.
const KINDS: [&str; 3] = ["model", "plan", "service"];

/// Items by name, such as `plan/studio`.
pub(crate) type Items = BTreeMap<String, String>;

/// Reads `DIR/{model,plan,service}/NAME.toml`.
///
/// # Errors
///
/// Returns a file that cannot be read, or all findings of all files together.
pub(crate) fn read(dir: &Path) -> Result<Items, Error> {
    let mut items = Items::new();
    let mut findings = Findings::default();
    for kind in KINDS {
        for path in files_of(&dir.join(kind))? {
            let text = fs::read_to_string(&path).map_err(|source| Error::Read {
                path: path.clone(),
                source,
            })?;
            let stem = path.file_stem().unwrap_or_default().to_string_lossy();
            let item = format!("{kind}/{stem}");
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
    Ok(findings.or(items)?)
}

/// The TOML files of a folder, sorted; none if the folder is not there.
fn files_of(folder: &Path) -> Result<Vec<PathBuf>, Error> {
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
