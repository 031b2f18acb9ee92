//! Copy of the text that was last in force, stored in the data folder if there is one.
//!
//! An instance that starts while its availability zone is cut off from the control
//! instances uses this copy. The copy is only a cache: a file that is missing or
//! can't be parsed is ignored.

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

const FILE_NAME: &str = "text.json";

/// Returns the saved text as the node's input; none if there is no readable file.
pub(crate) fn read(folder: &Path) -> Option<Input> {
    let raw = fs::read(folder.join(FILE_NAME)).ok()?;
    let Current { version, text } = serde_json::from_slice(&raw).ok()?;
    Some(Input::Saved { version, text })
}

/// Saves a text in the background, unless the file already holds this or a later version.
pub(crate) fn write(folder: PathBuf, version: TextVersion, raw: Arc<str>) {
    tokio::task::spawn_blocking(move || {
        if let Err(err) = try_write(&folder, version, &raw) {
            tracing::warn!("can't save the text in force: {err:#}");
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
    let temp = folder.join(format!("{FILE_NAME}.{version}"));
    let mut file = File::create(&temp)?;
    file.write_all(&body)?;
    file.sync_all()?;
    fs::rename(&temp, folder.join(FILE_NAME))?;
    Ok(())
}
