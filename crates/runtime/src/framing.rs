//! Finds the framing headers of a message head while its bytes are read, because hyper does not expose them.

/// The framing headers that a message head contains, found while its bytes are read.
#[derive(Default)]
pub(crate) struct Framing {
    /// The beginning of the current line, in lower case.
    line: Vec<u8>,
    /// A non-empty line was read.
    has_line: bool,
    /// The head is complete.
    pub is_complete: bool,
    /// It has a `Content-Length`.
    pub has_length: bool,
    /// It has a `Transfer-Encoding`.
    pub has_transfer_encoding: bool,
    /// Bytes of the head so far, and of informational responses before it.
    pub length: usize,
    /// The head belongs to an informational (1xx) response; another one follows.
    is_informational: bool,
}

impl Framing {
    /// The beginning of an informational response, in lower case.
    const INFORMATIONAL: &[u8] = b"http/1.1 1";
    /// Length of the longest header name searched for, with its colon.
    const MAX_NAME_LEN: usize = b"transfer-encoding:".len();

    /// Scans bytes as they are read; those behind the head are ignored.
    pub fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.is_complete => return,
                b'\n' => {
                    self.length += 1;
                    self.is_informational |= !self.has_line && self.line.starts_with(Self::INFORMATIONAL);
                    self.has_length |= self.line.starts_with(b"content-length:");
                    self.has_transfer_encoding |= self.line.starts_with(b"transfer-encoding:");
                    // Empty lines may precede a request; after its first line an empty one ends the head.
                    self.is_complete = self.has_line && self.line.is_empty();
                    self.has_line |= !self.line.is_empty();
                    self.line.clear();
                    if self.is_complete && std::mem::take(&mut self.is_informational) {
                        (self.is_complete, self.has_line) = (false, false);
                    }
                }
                _ => {
                    self.length += 1;
                    if *byte != b'\r' && self.line.len() < Self::MAX_NAME_LEN {
                        self.line.push(byte.to_ascii_lowercase());
                    }
                }
            }
        }
    }
}
