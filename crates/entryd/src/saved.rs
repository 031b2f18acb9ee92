//! The last text in force, kept in the data folder where there is one.
//!
//! It is a convenience for a start in a zone that is cut off, never a proof: a
//! file that is missing or broken is as good as none.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::Arc,
};

use anyhow::Result;
use base::TextVersion;
use node::Input;
use wire::operator::Current;

/// The file's name.
const FILE: &str = "text.json";

/// Reads the saved text.
pub(crate) fn read(folder: &Path) -> Option<Input> {
    let raw = fs::read(folder.join(FILE)).ok()?;
    let Current { version, text } = serde_json::from_slice(&raw).ok()?;
    Some(Input::Saved { version, text })
}

/// Writes a text in the background; the newest one written last wins.
pub(crate) fn write(folder: PathBuf, version: TextVersion, raw: Arc<str>) {
    tokio::task::spawn_blocking(move || {
        if let Err(err) = try_write(&folder, version, &raw) {
            tracing::warn!("the text can't be saved: {err:#}");
        }
    });
}

fn try_write(folder: &Path, version: TextVersion, raw: &str) -> Result<()> {
    if matches!(read(folder), Some(Input::Saved { version: saved, .. }) if saved >= version) {
        return Ok(());
    }
    fs::create_dir_all(folder)?;
    let text = raw.to_owned();
    let body = serde_json::to_vec(&Current { version, text })?;
    let fresh = folder.join(format!("{FILE}.{version}"));
    let mut file = File::create(&fresh)?;
    file.write_all(&body)?;
    file.sync_all()?;
    fs::rename(&fresh, folder.join(FILE))?;
    Ok(())
}
