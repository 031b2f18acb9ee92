//! The two system calls that tests replace by failing ones.

use std::{
    fmt,
    fs::File,
    io::{self, Write},
};

type WriteCall = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;
type SyncCall = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// How bytes are written and made durable; tests replace these to inject failures.
pub struct SystemCalls {
    /// Writes all bytes at the file's current position.
    pub write: WriteCall,
    /// Syncs the file, so that everything written to it is durable.
    pub sync: SyncCall,
}

impl Default for SystemCalls {
    fn default() -> Self {
        SystemCalls {
            write: Box::new(|file, raw| file.write_all(raw)),
            sync: Box::new(File::sync_all),
        }
    }
}

impl fmt::Debug for SystemCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SystemCalls").finish_non_exhaustive()
    }
}
