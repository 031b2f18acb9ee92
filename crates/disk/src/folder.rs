//! An open data folder: appends to the log, and replaces log and snapshot together.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Seek, SeekFrom},
    path::{Path, PathBuf},
};

use replog::{
    Record, ReplicaId, Snapshot, encode_first_log, encode_frame, encode_next_log, encode_snapshot,
};
use thiserror::Error;

use crate::SystemCalls;

/// Size of the reserve file, which is deleted when the disk is full: room for thousands
/// of votes and for the entries that begin a term.
const RESERVE_BYTES: usize = 256 << 10;

/// Why a write didn't become durable.
#[derive(Debug, Error)]
pub(crate) enum WriteError {
    /// The disk is full; nothing was written, and the write may be retried.
    #[error("the disk is full")]
    Full,
    /// The write failed in a way that leaves the content on disk unknown.
    #[error("{0}")]
    Failed(#[from] io::Error),
}

/// An open data folder.
#[derive(Debug)]
pub struct Folder {
    pub(crate) dir: PathBuf,
    /// Held open only for the lock, which is released when the file is closed.
    pub(crate) _lock: File,
    pub(crate) id: ReplicaId,
    pub(crate) log: File,
    pub(crate) generation: u64,
    /// The length of the durable part of the log in bytes.
    pub(crate) len: u64,
    /// The number of the next frame.
    pub(crate) next: u64,
    pub(crate) calls: SystemCalls,
}

impl Folder {
    /// Returns the replica that owns the folder.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Replaces the system calls, for tests.
    #[must_use]
    pub fn with_calls(self, calls: SystemCalls) -> Self {
        Folder { calls, ..self }
    }

    /// Appends a frame and makes it durable.
    pub(crate) fn append(&mut self, records: &[Record]) -> Result<(), WriteError> {
        let frame = encode_frame(self.next, records);
        if let Err(err) = (self.calls.write)(&mut self.log, &frame) {
            self.undo_write(&err)?;
            return Err(WriteError::Full);
        }
        (self.calls.sync)(&self.log)?;
        self.len += frame.len() as u64;
        self.next += 1;
        Ok(())
    }

    /// Replaces log and snapshot atomically: a crash at any time leaves either the old
    /// pair or the new one. The new pair takes effect with the rename of the new log.
    pub(crate) fn replace(
        &mut self,
        snapshot: &Snapshot,
        records: &[Record],
    ) -> Result<(), WriteError> {
        let generation = self.generation + 1;
        let raw = encode_next_log(&self.id, snapshot.at, records);
        self.write_atomically(
            &snapshot_path(&self.dir, generation),
            &encode_snapshot(snapshot),
        )?;
        let log = self.write_atomically(&log_path(&self.dir, generation), &raw)?;
        let old = std::mem::replace(&mut self.generation, generation);
        self.log = log;
        self.len = raw.len() as u64;
        self.next = 2;
        // A file that isn't removed only takes space: the next start ignores it.
        let _ = fs::remove_file(log_path(&self.dir, old));
        let _ = fs::remove_file(snapshot_path(&self.dir, old));
        Ok(())
    }

    /// Deletes the reserve file to free its space.
    pub(crate) fn delete_reserve(&self) {
        let _ = fs::remove_file(reserve_path(&self.dir));
    }

    /// Recreates the reserve file; returns whether there was space for it.
    pub(crate) fn create_reserve(&self) -> bool {
        create_reserve(&self.dir).is_ok()
    }

    /// Writes a file under a temporary name, syncs it, renames it and syncs the folder,
    /// so that the file appears either in full or not at all.
    fn write_atomically(&mut self, path: &Path, raw: &[u8]) -> Result<File, WriteError> {
        let temp = path.with_added_extension("tmp");
        let mut file = create(&temp).map_err(to_write_error)?;
        if let Err(err) = (self.calls.write)(&mut file, raw) {
            let _ = fs::remove_file(&temp);
            return Err(to_write_error(err));
        }
        (self.calls.sync)(&file)?;
        fs::rename(&temp, path)?;
        sync_dir(&self.dir)?;
        Ok(file)
    }

    /// Undoes a write that failed because the disk is full, so that it may be retried.
    ///
    /// This is safe because no sync was attempted: unlike a failed sync, the error
    /// concerns exactly these bytes.
    fn undo_write(&mut self, err: &io::Error) -> Result<(), WriteError> {
        if !is_full(err) {
            return Err(io::Error::new(err.kind(), err.to_string()).into());
        }
        self.log.set_len(self.len)?;
        self.log.seek(SeekFrom::Start(self.len))?;
        Ok(())
    }
}

pub(crate) fn log_path(dir: &Path, generation: u64) -> PathBuf {
    dir.join(format!("log.{generation}"))
}

pub(crate) fn snapshot_path(dir: &Path, generation: u64) -> PathBuf {
    dir.join(format!("snapshot.{generation}"))
}

pub(crate) fn reserve_path(dir: &Path) -> PathBuf {
    dir.join("reserve")
}

/// Creates a log file without snapshot or records.
pub(crate) fn new_log(dir: &Path, id: &ReplicaId) -> io::Result<(File, u64)> {
    let raw = encode_first_log(id);
    let path = log_path(dir, 1);
    let temp = path.with_added_extension("tmp");
    let mut file = create(&temp)?;
    io::Write::write_all(&mut file, &raw)?;
    file.sync_all()?;
    fs::rename(&temp, &path)?;
    sync_dir(dir)?;
    Ok((file, raw.len() as u64))
}

pub(crate) fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

/// Creates the reserve file unless it exists. Its bytes are written out, as a sparse file
/// would reserve no space.
pub(crate) fn create_reserve(dir: &Path) -> io::Result<()> {
    let path = reserve_path(dir);
    if path.exists() {
        return Ok(());
    }
    let temp = path.with_added_extension("tmp");
    let written = fs::write(&temp, vec![0x5a; RESERVE_BYTES]);
    if written.is_err() {
        let _ = fs::remove_file(&temp);
        return written;
    }
    fs::rename(&temp, &path)
}

fn create(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(true);
    options.open(path)
}

fn is_full(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

fn to_write_error(err: io::Error) -> WriteError {
    if is_full(&err) {
        return WriteError::Full;
    }
    WriteError::Failed(err)
}
