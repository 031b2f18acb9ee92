//! Where the events of a stream end.
//!
//! A stream that is passed on unchanged needn't be parsed, but whether it ends within an
//! event has to be known: then it was broken off, whatever its framing says.

/// Finds the ends of events; its input may be split at any byte.
///
/// An empty line ends an event. Lines end with LF or CRLF.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventEnds {
    /// Whether the current line has anything but a CR.
    in_line: bool,
    /// Whether the current event has any line.
    in_event: bool,
    /// Whether a CR is the last byte.
    after_cr: bool,
}

impl EventEnds {
    /// Reads `piece` and returns the number of its bytes up to the end of the last event
    /// that ends in it.
    pub fn push(&mut self, piece: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in piece.iter().enumerate() {
            match byte {
                b'\n' if self.in_line => {
                    self.in_line = false;
                    self.in_event = true;
                }
                b'\n' => {
                    self.in_event = false;
                    end = Some(at + 1);
                }
                b'\r' if !self.after_cr => {}
                _ => self.in_line = true,
            }
            self.after_cr = *byte == b'\r';
        }
        end
    }

    /// Returns whether an event has begun and not ended.
    #[must_use]
    pub fn is_within(&self) -> bool {
        self.in_line || self.in_event || self.after_cr
    }
}
