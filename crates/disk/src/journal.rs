//! A journal of records that matter for a minute or so. Nothing waits for its writes: what is
//! lost with the power is missing afterwards, and what is read back was written as it is.
//!
//! Records are appended to a segment, `NAME.N`; the last two segments are kept.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Time after which a new segment is begun.
const SEGMENT_TIME: Duration = Duration::from_secs(60);

/// Size at which a new segment is begun.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Longest time from a write to its sync.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes before a record: its length and its checksum.
const HEAD_BYTES: usize = 8;

/// Passes records to the thread that writes them; dropping it writes what is left and ends
/// the thread.
#[derive(Debug)]
pub struct Journal {
    records: Option<Sender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

impl Journal {
    /// Opens the journal `name` in a folder, and returns the records of its last segments, the
    /// oldest first. What follows a damaged record is left out.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be used.
    pub fn open(dir: &Path, name: &str) -> io::Result<(Journal, Vec<Vec<u8>>)> {
        let (segment, found) = Segment::open(dir, name)?;
        let (records, queue) = channel();
        let thread = thread::Builder::new().name(name.to_owned());
        let thread = thread.spawn(move || write_all(segment, &queue))?;
        let journal = Journal {
            records: Some(records),
            thread: Some(thread),
        };
        Ok((journal, found))
    }

    /// Appends a record, some time after this returns.
    pub fn append(&self, record: Vec<u8>) {
        // Once the thread has ended, records are lost as with the power.
        self.records.as_ref().map(|records| records.send(record));
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.records = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// The segment that is written.
#[derive(Debug)]
struct Segment {
    dir: PathBuf,
    name: String,
    number: u64,
    file: File,
    /// Length of its complete records, in bytes.
    len: u64,
    begun: Instant,
}

impl Segment {
    fn open(dir: &Path, name: &str) -> io::Result<(Segment, Vec<Vec<u8>>)> {
        fs::create_dir_all(dir)?;
        let numbers = numbers(dir, name)?;
        let number = numbers.last().copied().unwrap_or(0);
        let mut found = Vec::new();
        let mut len = 0;
        for number in numbers.iter().rev().take(2).rev() {
            let raw = fs::read(path(dir, name, *number))?;
            len = decode(&raw, &mut found);
        }
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path(dir, name, number))?;
        file.set_len(len)?;
        file.seek(SeekFrom::Start(len))?;
        let segment = Segment {
            dir: dir.to_owned(),
            name: name.to_owned(),
            number,
            file,
            len,
            begun: Instant::now(),
        };
        Ok((segment, found))
    }

    fn append(&mut self, frames: &[u8]) -> io::Result<()> {
        if self.begun.elapsed() >= SEGMENT_TIME || self.len >= SEGMENT_BYTES {
            self.begin_next()?;
        }
        if let Err(err) = self.file.write_all(frames) {
            // The disk is full: a part of a record would hide those after it.
            self.file.set_len(self.len)?;
            self.file.seek(SeekFrom::Start(self.len))?;
            return Err(err);
        }
        self.len += frames.len() as u64;
        Ok(())
    }

    fn begin_next(&mut self) -> io::Result<()> {
        let number = self.number + 1;
        self.file = File::create(path(&self.dir, &self.name, number))?;
        (self.number, self.len, self.begun) = (number, 0, Instant::now());
        for old in numbers(&self.dir, &self.name)? {
            if old + 1 < number {
                fs::remove_file(path(&self.dir, &self.name, old))?;
            }
        }
        Ok(())
    }
}

/// Writes records until no more can come.
fn write_all(mut segment: Segment, queue: &Receiver<Vec<u8>>) {
    let mut sync_at: Option<Instant> = None;
    loop {
        let record = match sync_at {
            None => queue.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(at) => queue.recv_timeout(at.saturating_duration_since(Instant::now())),
        };
        match record {
            Ok(record) => {
                let mut frames = encode(&record);
                frames.extend(queue.try_iter().flat_map(|record| encode(&record)));
                // What can't be written is lost as with the power.
                if segment.append(&frames).is_ok() {
                    sync_at.get_or_insert_with(|| Instant::now() + SYNC_INTERVAL);
                }
            }
            Err(RecvTimeoutError::Timeout) => {
                segment.file.sync_data().ok();
                sync_at = None;
            }
            Err(RecvTimeoutError::Disconnected) => {
                segment.file.sync_data().ok();
                return;
            }
        }
    }
}

fn path(dir: &Path, name: &str, number: u64) -> PathBuf {
    dir.join(format!("{name}.{number}"))
}

/// Returns the numbers of the segments, in order.
fn numbers(dir: &Path, name: &str) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir)? {
        let file = entry?.file_name();
        let file = file.to_string_lossy();
        let number = file.strip_prefix(name).and_then(|f| f.strip_prefix('.'));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn encode(record: &[u8]) -> Vec<u8> {
    let len = u32::try_from(record.len()).unwrap_or(u32::MAX);
    let mut frame = Vec::with_capacity(HEAD_BYTES + record.len());
    frame.extend(len.to_le_bytes());
    frame.extend(crc32fast::hash(record).to_le_bytes());
    frame.extend(record);
    frame
}

/// Appends the records of a segment up to the first damaged one; returns their length.
fn decode(raw: &[u8], records: &mut Vec<Vec<u8>>) -> u64 {
    let mut rest = raw;
    while let Some((head, body)) = rest.split_at_checked(HEAD_BYTES) {
        let (len, sum) = head.split_at(HEAD_BYTES / 2);
        let [len, sum] =
            [len, sum].map(|raw| raw.iter().rev().fold(0, |n, b| n << 8 | u32::from(*b)));
        let Some((record, after)) = body.split_at_checked(len as usize) else {
            break;
        };
        if len == 0 || crc32fast::hash(record) != sum {
            break;
        }
        records.push(record.to_vec());
        rest = after;
    }
    (raw.len() - rest.len()) as u64
}
