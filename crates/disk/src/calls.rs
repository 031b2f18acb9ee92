//! The two calls of the system that may fail in ways worth testing.

use std::{
    fmt,
    fs::File,
    io::{self, Write},
};

type WriteCall = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;
type SyncCall = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// How bytes are written and made durable; a test hands in failing ones.
pub struct Calls {
    /// Writes all bytes at the file's end.
    pub write: WriteCall,
    /// Makes all that was written durable.
    pub sync: SyncCall,
}

impl Default for Calls {
    fn default() -> Self {
        Calls {
            write: Box::new(|file, raw| file.write_all(raw)),
            sync: Box::new(File::sync_all),
        }
    }
}

impl fmt::Debug for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Calls").finish_non_exhaustive()
    }
}
