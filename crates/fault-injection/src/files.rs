//! Calls on files.

use crate::descriptors::{self, Kind, kind};
use crate::process::die;
use crate::real::{Real, fail};
use crate::state::{Subject, Verdict, verdict};
use curlewhub_fault_schedule::Call;
use libc::{c_char, c_int, c_void, mode_t, off_t, size_t, ssize_t};
use std::ffi::{CStr, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::path::Path;

/// Whether a call on a path is to fail; the error then.
///
/// # Safety
/// `path` is a C string.
unsafe fn struck_at(call: Call, folder: c_int, path: *const c_char) -> Option<c_int> {
    if path.is_null() {
        return None;
    }
    // SAFETY: the caller says so.
    let path = Path::new(OsStr::from_bytes(unsafe { CStr::from_ptr(path) }.to_bytes()));
    let path = descriptors::absolute(folder, path)?;
    match verdict(call, Subject::Path(&path), 0) {
        Verdict::Fails(errno) => Some(fail(errno)),
        Verdict::Pass | Verdict::Short(_) | Verdict::Torn(_) => None,
    }
}

/// Whether a call on an open file is to fail; the error then.
fn struck_on(call: Call, fd: c_int) -> Option<c_int> {
    if kind(fd) != Kind::File {
        return None;
    }
    match verdict(call, Subject::Descriptor(fd), 0) {
        Verdict::Fails(errno) => Some(fail(errno)),
        Verdict::Pass | Verdict::Short(_) | Verdict::Torn(_) => None,
    }
}

/// Defines a function in front of a form of `open`. The mode is read whether the caller has given one or not: the
/// calling conventions of Linux pass it in a register either way, and the C library looks at it only where the
/// flags say that it is there.
macro_rules! opens {
    ($name:ident, $real:ident, $text:literal $(, $folder:ident)?) => {
        static $real: Real<unsafe extern "C" fn($($folder: c_int,)? *const c_char, c_int, ...) -> c_int> =
            // SAFETY: this is the type of the function of this name (open(2)).
            unsafe { Real::new($text) };

        /// In front of the function of this name.
        ///
        /// # Safety
        /// As for that function.
        // SAFETY: the symbol stands for a function that is called in the same way.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($folder: c_int,)? path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
            #[allow(unused_variables)]
            let at = libc::AT_FDCWD;
            $(let at = $folder;)?
            if flags & libc::O_CREAT != 0 {
                // SAFETY: the caller gives a C string.
                if let Some(failed) = unsafe { struck_at(Call::Open, at, path) } {
                    return failed;
                }
            }
            // SAFETY: the caller's arguments go on as they are.
            unsafe { $real.get()($($folder,)? path, flags, mode) }
        }
    };
}

opens!(open, OPEN, c"open");
opens!(open64, OPEN64, c"open64");
opens!(openat, OPENAT, c"openat", folder);
opens!(openat64, OPENAT64, c"openat64", folder);

/// Defines a function in front of a form of `pwrite`.
macro_rules! writes_at {
    ($name:ident, $real:ident, $text:literal) => {
        static $real: Real<unsafe extern "C" fn(c_int, *const c_void, size_t, off_t) -> ssize_t> =
            // SAFETY: this is the type of the function of this name (pwrite(2)).
            unsafe { Real::new($text) };

        /// In front of the function of this name.
        ///
        /// # Safety
        /// As for that function.
        // SAFETY: the symbol stands for a function of the same type.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(
            fd: c_int,
            buffer: *const c_void,
            length: size_t,
            at: off_t,
        ) -> ssize_t {
            // SAFETY: the caller's arguments go on as they are, with no greater length.
            let write = |length| unsafe { $real.get()(fd, buffer, length, at) };
            let file = kind(fd) == Kind::File;
            match if file { verdict(Call::Write, Subject::Descriptor(fd), length) } else { Verdict::Pass } {
                Verdict::Pass => write(length),
                Verdict::Fails(errno) => fail(errno) as ssize_t,
                Verdict::Short(bytes) => write(length.min(bytes)),
                Verdict::Torn(bytes) => {
                    write(length.min(bytes));
                    die()
                }
            }
        }
    };
}

writes_at!(pwrite, PWRITE, c"pwrite");
writes_at!(pwrite64, PWRITE64, c"pwrite64");

/// Defines a function in front of one that has an open file and nothing else that matters here.
macro_rules! on_file {
    ($name:ident, $real:ident, $text:literal, $call:expr $(, $argument:ident: $type:ty)?) => {
        static $real: Real<unsafe extern "C" fn(c_int $(, $type)?) -> c_int> =
            // SAFETY: this is the type of the function of this name, by its manual page.
            unsafe { Real::new($text) };

        /// In front of the function of this name.
        ///
        /// # Safety
        /// As for that function.
        // SAFETY: the symbol stands for a function of the same type.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(fd: c_int $(, $argument: $type)?) -> c_int {
            if let Some(failed) = struck_on($call, fd) {
                return failed;
            }
            // SAFETY: the caller's arguments go on as they are.
            unsafe { $real.get()(fd $(, $argument)?) }
        }
    };
}

on_file!(fsync, FSYNC, c"fsync", Call::Fsync);
on_file!(fdatasync, FDATASYNC, c"fdatasync", Call::Fsync);
on_file!(ftruncate, FTRUNCATE, c"ftruncate", Call::Ftruncate, length: off_t);
on_file!(ftruncate64, FTRUNCATE64, c"ftruncate64", Call::Ftruncate, length: off_t);

static RENAME: Real<unsafe extern "C" fn(*const c_char, *const c_char) -> c_int> =
    // SAFETY: this is the type of `rename` (rename(2)).
    unsafe { Real::new(c"rename") };

/// In front of `rename`; what it is about is the new path.
///
/// # Safety
/// As for `rename`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(old: *const c_char, new: *const c_char) -> c_int {
    // SAFETY: the caller gives C strings.
    if let Some(failed) = unsafe { struck_at(Call::Rename, libc::AT_FDCWD, new) } {
        return failed;
    }
    // SAFETY: the caller's arguments go on as they are.
    unsafe { RENAME.get()(old, new) }
}
