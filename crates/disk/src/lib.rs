//! The data folder of a control instance: one log file and one snapshot.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use base::{Incarnation, InstanceName};
use replog::{
    FORMAT, Header, Record, ReplicaId, Restored, Snapshot, Tail, encode_frame, encode_header,
    encode_snapshot, recover, recover_snapshot,
};

/// What a data folder gives at the start.
#[derive(Debug)]
pub struct Opened {
    /// Where writes go.
    pub folder: Folder,
    /// The replica whose folder it is.
    pub id: ReplicaId,
    /// What it remembers.
    pub restored: Restored,
}

/// An open data folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    id: ReplicaId,
    log: File,
    next: u64,
}

/// Opens the folder at `path` for `instance`.
///
/// # Errors
///
/// Fails when the folder can't be read or written.
pub fn open(path: &Path, instance: &InstanceName) -> Result<Opened> {
    fs::create_dir_all(path).with_context(|| format!("can't make {}", path.display()))?;
    let raw = fs::read(path.join("log")).unwrap_or_default();
    let found = recover(&raw);
    let snapshot = fs::read(path.join("snapshot")).ok();
    let snapshot = snapshot.and_then(|raw| recover_snapshot(&raw).ok());
    let usable = found.tail != Tail::Damaged;
    let kept = found
        .header
        .filter(|header| usable && header.id.instance == *instance);
    if let Some(header) = kept
        && let Some(restored) = Restored::replay(snapshot, found.records)
    {
        let log = File::options().append(true).open(path.join("log"))?;
        log.set_len(found.len)?;
        let folder = Folder {
            path: path.to_owned(),
            id: header.id.clone(),
            log,
            next: found.next,
        };
        return Ok(Opened {
            folder,
            id: header.id,
            restored,
        });
    }
    let life = SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros();
    let life = Incarnation(u64::try_from(life)?);
    let id = ReplicaId {
        instance: instance.clone(),
        life,
    };
    let header = Header {
        format: FORMAT,
        id: id.clone(),
        base: None,
        sealed: 0,
    };
    fs::remove_file(path.join("snapshot")).ok();
    let log = start_log(path, &encode_header(&header))?;
    let folder = Folder {
        path: path.to_owned(),
        id: id.clone(),
        log,
        next: 1,
    };
    Ok(Opened {
        folder,
        id,
        restored: Restored::default(),
    })
}

impl Folder {
    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// Fails when they may not be durable.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        self.log.write_all(&encode_frame(self.next, records))?;
        self.log.sync_data()?;
        self.next += 1;
        Ok(())
    }

    /// Replaces snapshot and log.
    ///
    /// # Errors
    ///
    /// Fails when they may not be durable.
    pub fn rewrite(&mut self, snapshot: &Snapshot, records: &[Record]) -> Result<()> {
        replace(&self.path, "snapshot", &encode_snapshot(snapshot))?;
        let header = Header {
            format: FORMAT,
            id: self.id.clone(),
            base: Some(snapshot.at),
            sealed: 2,
        };
        let mut raw = encode_header(&header);
        raw.extend(encode_frame(1, records));
        self.log = start_log(&self.path, &raw)?;
        self.next = 2;
        Ok(())
    }
}

fn start_log(path: &Path, raw: &[u8]) -> Result<File> {
    replace(path, "log", raw)?;
    Ok(File::options().append(true).open(path.join("log"))?)
}

fn replace(path: &Path, name: &str, raw: &[u8]) -> Result<()> {
    let fresh = path.join(format!("{name}.new"));
    let mut file = File::create(&fresh)?;
    file.write_all(raw)?;
    file.sync_all()?;
    fs::rename(&fresh, path.join(name))?;
    File::open(path)?.sync_all()?;
    Ok(())
}
