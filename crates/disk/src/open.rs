//! Opens a data folder and decides whether its content may be used.

use std::{
    fs::{self, File, OpenOptions},
    io::{Seek, SeekFrom},
    path::{Path, PathBuf},
};

use anyhow::{Context, Result, bail};
use base::{Incarnation, InstanceName};
use replog::{Header, Recovered, ReplicaId, Restored, Snapshot, Tail, recover, recover_snapshot};

use crate::{
    Folder, SystemCalls,
    folder::{create_reserve, log_path, new_log, snapshot_path, sync_dir},
};

/// What was found in a data folder and done about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The folder was empty; the replica is new.
    New,
    /// The content is intact.
    Intact,
    /// A torn write at the end of the log was truncated.
    Truncated {
        /// The number of bytes truncated.
        bytes: u64,
    },
    /// The content was corrupt or belonged to another instance and was moved aside; the
    /// replica is new.
    Replaced {
        /// Why the content was rejected.
        reason: String,
        /// The folder that the files were moved to.
        kept: PathBuf,
    },
}

/// An opened data folder and its content.
#[derive(Debug)]
pub struct Opened {
    /// The folder, open for appending.
    pub folder: Folder,
    /// The state that the replica starts from.
    pub restored: Restored,
    /// What was found in the folder.
    pub outcome: OpenOutcome,
}

/// Opens the data folder of `instance`, or creates it. A new replica gets the incarnation
/// `incarnation`, which must be greater than all earlier ones; microseconds of the wall
/// clock are suitable.
///
/// # Errors
///
/// Fails when another process uses the folder, when the folder was written by another
/// release, or on an I/O error.
pub fn open(dir: &Path, instance: &InstanceName, incarnation: Incarnation) -> Result<Opened> {
    fs::create_dir_all(dir).with_context(|| format!("can't create {}", dir.display()))?;
    let lock = take_lock(dir)?;
    let generations = generations(dir)?;
    let Some(&generation) = generations.last() else {
        return start_new(dir, lock, instance, incarnation, OpenOutcome::New);
    };
    let raw = fs::read(log_path(dir, generation)).context("can't read the log")?;
    let found = recover(&raw);
    if found.tail == Tail::OtherFormat {
        bail!("the data folder was written by another release");
    }
    match check_content(dir, generation, instance, &found) {
        Ok((header, restored)) => {
            let cut = raw.len() as u64 - found.len;
            let log = reopen(&log_path(dir, generation), found.len)?;
            let folder = Folder {
                dir: dir.to_owned(),
                _lock: lock,
                id: header.id,
                log,
                generation,
                len: found.len,
                next: found.next,
                calls: SystemCalls::default(),
            };
            let outcome = if cut == 0 {
                OpenOutcome::Intact
            } else {
                OpenOutcome::Truncated { bytes: cut }
            };
            finish(folder, restored, outcome)
        }
        Err(reason) => {
            // Votes and acknowledgements are lost with the records. A replica that
            // continued under its old identity could vote twice in a term, or form a
            // majority with an instance that lacks the entries it had acknowledged.
            base::hit!(never_trust_damage);
            let kept = move_aside(dir, incarnation)?;
            let old = found
                .header
                .map_or(Incarnation(0), |header| header.id.incarnation);
            let incarnation = incarnation.max(old.next());
            let outcome = OpenOutcome::Replaced { reason, kept };
            start_new(dir, lock, instance, incarnation, outcome)
        }
    }
}

/// Locks the folder for as long as the file is open.
///
/// Two processes that share a folder would vote under the same identity.
fn take_lock(dir: &Path) -> Result<File> {
    let path = dir.join("lock");
    let mut options = OpenOptions::new();
    let file = options.create(true).truncate(false).write(true).open(path);
    let file = file.context("can't open the lock file")?;
    if file.try_lock().is_err() {
        base::hit!(folder_locked);
        bail!("another process uses {}", dir.display());
    }
    Ok(file)
}

/// Returns the generation numbers of the log files, in ascending order.
fn generations(dir: &Path) -> Result<Vec<u64>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).context("can't list the data folder")? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        let number = name.strip_prefix("log.").map(str::parse);
        if let Some(Ok(number)) = number {
            found.push(number);
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Returns the state that the replica may start from, or why the content can't be used.
fn check_content(
    dir: &Path,
    generation: u64,
    instance: &InstanceName,
    found: &Recovered,
) -> Result<(Header, Restored), String> {
    let header = found.header.clone().ok_or("the log's header is corrupt")?;
    if found.tail == Tail::Damaged {
        return Err("the log is corrupt before its last frame".to_owned());
    }
    if header.id.instance != *instance {
        return Err(format!("the folder belongs to {}", header.id.instance));
    }
    let base = match header.base {
        Some(at) => {
            let snapshot = read_snapshot(dir, generation)?;
            if snapshot.at != at {
                return Err("the snapshot is not the one that the log continues".to_owned());
            }
            Some(snapshot)
        }
        None => None,
    };
    let restored = Restored::replay(base, found.records.clone());
    let restored = restored.ok_or("the records of the log are inconsistent")?;
    Ok((header, restored))
}

fn read_snapshot(dir: &Path, generation: u64) -> Result<Snapshot, String> {
    let raw = fs::read(snapshot_path(dir, generation));
    let raw = raw.map_err(|err| format!("can't read the snapshot: {err}"))?;
    recover_snapshot(&raw).map_err(|err| err.to_string())
}

/// Opens the log for appending after its readable part; anything after that part is
/// truncated durably before new records are written.
fn reopen(path: &Path, len: u64) -> Result<File> {
    let mut log = OpenOptions::new().read(true).write(true).open(path)?;
    log.set_len(len)?;
    log.sync_all()?;
    log.seek(SeekFrom::Start(len))?;
    Ok(log)
}

fn start_new(
    dir: &Path,
    lock: File,
    instance: &InstanceName,
    incarnation: Incarnation,
    outcome: OpenOutcome,
) -> Result<Opened> {
    let id = ReplicaId {
        instance: instance.clone(),
        incarnation,
    };
    let (log, len) = new_log(dir, &id).context("can't create the log file")?;
    let folder = Folder {
        dir: dir.to_owned(),
        _lock: lock,
        id,
        log,
        generation: 1,
        len,
        next: 1,
        calls: SystemCalls::default(),
    };
    finish(folder, Restored::default(), outcome)
}

fn finish(folder: Folder, restored: Restored, outcome: OpenOutcome) -> Result<Opened> {
    // Without a reserve the replica still works, but it can't vote once the disk is full.
    let _ = create_reserve(&folder.dir);
    Ok(Opened {
        folder,
        restored,
        outcome,
    })
}

/// Moves all files except lock and reserve into a subfolder.
fn move_aside(dir: &Path, incarnation: Incarnation) -> Result<PathBuf> {
    let aside = dir.join(format!("damaged.{incarnation}"));
    fs::create_dir_all(&aside)?;
    for entry in fs::read_dir(dir)? {
        let entry = entry?;
        let name = entry.file_name();
        let moved = entry.file_type()?.is_file() && name != "lock" && name != "reserve";
        if moved {
            fs::rename(entry.path(), aside.join(name))?;
        }
    }
    sync_dir(dir)?;
    Ok(aside)
}
