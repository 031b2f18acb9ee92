//! Where the events of a stream end.
//!
//! A stream that is passed on unchanged needn't be parsed, but whether it ends within an
//! event has to be known: then it was broken off, whatever its framing says.

/// Finds the ends of events; its input may be split at any byte.
///
/// An empty line ends an event. Lines end with LF, CRLF or CR.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventEnds {
    /// Whether the current line has any byte.
    in_line: bool,
    /// Whether the current event has any line.
    in_event: bool,
    /// Whether the last byte is a CR.
    after_cr: bool,
    /// Whether lines end with a CR alone, so that it needn't be waited for an LF.
    cr_alone: bool,
}

impl EventEnds {
    /// Reads `piece` and returns the number of its bytes up to the end of the last event
    /// that ends in it.
    pub fn push(&mut self, piece: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in piece.iter().enumerate() {
            let after_cr = std::mem::replace(&mut self.after_cr, *byte == b'\r');
            if after_cr && *byte == b'\n' && self.cr_alone {
                // The LF belongs to the CR that has ended the line.
                if end == Some(at) {
                    end = Some(at + 1);
                }
                continue;
            }
            if after_cr && *byte != b'\n' && !self.cr_alone {
                self.cr_alone = true;
                self.end_line(at, &mut end);
            }
            match byte {
                b'\n' => self.end_line(at + 1, &mut end),
                b'\r' if self.cr_alone => self.end_line(at + 1, &mut end),
                b'\r' => {}
                _ => self.in_line = true,
            }
        }
        end
    }

    /// Returns whether an event has begun and not ended.
    #[must_use]
    pub fn is_within(&self) -> bool {
        self.in_line || self.in_event || (self.after_cr && !self.cr_alone)
    }

    fn end_line(&mut self, at: usize, end: &mut Option<usize>) {
        if self.in_line {
            self.in_event = true;
        } else {
            self.in_event = false;
            *end = Some(at);
        }
        self.in_line = false;
    }
}
