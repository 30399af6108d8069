//! Buffers in several parts, as vectored calls have them.

use libc::{c_int, iovec};

/// The parts, none where the number makes no sense.
///
/// # Safety
/// So many parts at `parts` are valid for reads for as long as they are used.
pub unsafe fn parts<'a>(parts: *const iovec, count: c_int) -> &'a [iovec] {
    match usize::try_from(count) {
        // SAFETY: the caller says so.
        Ok(count) if !parts.is_null() => unsafe { std::slice::from_raw_parts(parts, count) },
        _ => &[],
    }
}

/// The bytes of all parts.
pub fn length(parts: &[iovec]) -> usize {
    parts.iter().map(|part| part.iov_len).sum()
}

/// The first so many bytes of the parts.
pub fn cut(parts: &[iovec], bytes: usize) -> Vec<iovec> {
    let mut left = bytes;
    let mut cut = Vec::new();
    for part in parts {
        let length = part.iov_len.min(left);
        left -= length;
        if length > 0 {
            cut.push(iovec { iov_base: part.iov_base, iov_len: length });
        }
    }
    cut
}
