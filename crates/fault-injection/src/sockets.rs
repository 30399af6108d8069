//! Calls on sockets, and `read`, `write` and their vectored forms, which files share.

use crate::descriptors::{self, Kind, Made, kind};
use crate::process::die;
use crate::real::{Real, errno, fail};
use crate::state::{Subject, Verdict, verdict};
use crate::vectors;
use curlewhub_fault_schedule::Call;
use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t};

/// What is to become of a call that carries bytes from or to a descriptor.
fn carried(fd: c_int, on_sockets: Call, on_files: Option<Call>, length: usize) -> Verdict {
    let call = match kind(fd) {
        Kind::Socket => Some(on_sockets),
        Kind::File => on_files,
        Kind::Other => None,
    };
    call.map_or(Verdict::Pass, |call| verdict(call, Subject::Descriptor(fd), length))
}

/// Does a call with so many bytes at the most.
fn carry(fd: c_int, length: usize, verdict: Verdict, call: impl Fn(usize) -> ssize_t) -> ssize_t {
    match verdict {
        Verdict::Pass => call(length),
        Verdict::Fails(errno) => fail(errno) as ssize_t,
        Verdict::Short(bytes) => {
            let result = call(length.min(bytes));
            if result > 0 {
                descriptors::look_again(fd);
            }
            result
        }
        Verdict::Torn(bytes) => {
            call(length.min(bytes));
            die()
        }
    }
}

/// Defines a function in front of one that carries a buffer.
macro_rules! carries {
    ($name:ident, $real:ident, $text:literal, $on_sockets:expr, $on_files:expr, $buffer:ty
        $(, $argument:ident: $type:ty)*) => {
        static $real: Real<unsafe extern "C" fn(c_int, $buffer, size_t $(, $type)*) -> ssize_t> =
            // SAFETY: this is the type of the function of this name, by its manual page.
            unsafe { Real::new($text) };

        /// In front of the function of this name.
        ///
        /// # Safety
        /// As for that function.
        // SAFETY: the symbol stands for a function of the same type.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(fd: c_int, buffer: $buffer, length: size_t $(, $argument: $type)*) -> ssize_t {
            let verdict = carried(fd, $on_sockets, $on_files, length);
            // SAFETY: the caller's arguments go on as they are, with no greater length.
            carry(fd, length, verdict, |length| unsafe { $real.get()(fd, buffer, length $(, $argument)*) })
        }
    };
}

carries!(recv, RECV, c"recv", Call::Recv, None, *mut c_void, flags: c_int);
carries!(recvfrom, RECVFROM, c"recvfrom", Call::Recv, None, *mut c_void,
    flags: c_int, address: *mut sockaddr, address_length: *mut socklen_t);
carries!(read, READ, c"read", Call::Recv, None, *mut c_void);
carries!(send, SEND, c"send", Call::Send, None, *const c_void, flags: c_int);
carries!(sendto, SENDTO, c"sendto", Call::Send, None, *const c_void,
    flags: c_int, address: *const sockaddr, address_length: socklen_t);
carries!(write, WRITE, c"write", Call::Send, Some(Call::Write), *const c_void);

/// Defines a function in front of one that carries a buffer in parts.
macro_rules! carries_parts {
    ($name:ident, $real:ident, $text:literal, $on_sockets:expr, $on_files:expr) => {
        static $real: Real<unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t> =
            // SAFETY: this is the type of the function of this name, by its manual page.
            unsafe { Real::new($text) };

        /// In front of the function of this name.
        ///
        /// # Safety
        /// As for that function.
        // SAFETY: the symbol stands for a function of the same type.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
            // SAFETY: the caller gives so many parts.
            let all = unsafe { vectors::parts(parts, count) };
            let length = vectors::length(all);
            let verdict = carried(fd, $on_sockets, $on_files, length);
            carry(fd, length, verdict, |bytes| {
                if bytes == length {
                    // SAFETY: the caller's arguments go on as they are.
                    return unsafe { $real.get()(fd, parts, count) };
                }
                let cut = vectors::cut(all, bytes);
                // SAFETY: the parts are the caller's, none longer than it was, and not more of them.
                unsafe { $real.get()(fd, cut.as_ptr(), cut.len() as c_int) }
            })
        }
    };
}

carries_parts!(readv, READV, c"readv", Call::Recv, None);
carries_parts!(writev, WRITEV, c"writev", Call::Send, Some(Call::Write));

/// Defines a function in front of one that carries a message.
macro_rules! carries_message {
    ($name:ident, $real:ident, $text:literal, $call:expr, $message:ty, $after:expr) => {
        static $real: Real<unsafe extern "C" fn(c_int, $message, c_int) -> ssize_t> =
            // SAFETY: this is the type of the function of this name, by its manual page.
            unsafe { Real::new($text) };

        /// In front of the function of this name.
        ///
        /// # Safety
        /// As for that function.
        // SAFETY: the symbol stands for a function of the same type.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(fd: c_int, message: $message, flags: c_int) -> ssize_t {
            // SAFETY: the caller gives a message that is valid, with so many parts.
            let all = unsafe { vectors::parts((*message).msg_iov, (*message).msg_iovlen as c_int) };
            let length = vectors::length(all);
            let verdict = carried(fd, $call, None, length);
            carry(fd, length, verdict, |bytes| {
                if bytes == length {
                    // SAFETY: the caller's arguments go on as they are.
                    return unsafe { $real.get()(fd, message, flags) };
                }
                let mut cut = vectors::cut(all, bytes);
                // SAFETY: the caller gives a message that is valid for reads.
                let mut shorter = unsafe { std::ptr::read(message) };
                shorter.msg_iov = cut.as_mut_ptr();
                shorter.msg_iovlen = cut.len();
                // SAFETY: the message is valid, and its parts are the caller's, none longer than it was.
                let result = unsafe { $real.get()(fd, &mut shorter, flags) };
                $after(message, &shorter);
                result
            })
        }
    };
}

carries_message!(recvmsg, RECVMSG, c"recvmsg", Call::Recv, *mut msghdr, received);
carries_message!(sendmsg, SENDMSG, c"sendmsg", Call::Send, *const msghdr, |_, _| {});

/// Hands on what the kernel has written into a message of fewer parts.
fn received(message: *mut msghdr, shorter: &msghdr) {
    // SAFETY: `recvmsg`, whose argument this is, has a message that is valid for writes.
    let message = unsafe { &mut *message };
    message.msg_namelen = shorter.msg_namelen;
    message.msg_controllen = shorter.msg_controllen;
    message.msg_flags = shorter.msg_flags;
}

/// What is to become of a call that carries no bytes: the error that it fails with.
fn struck(call: Call, subject: Subject<'_>) -> Option<c_int> {
    match verdict(call, subject, 0) {
        Verdict::Fails(errno) => Some(fail(errno)),
        Verdict::Pass | Verdict::Short(_) | Verdict::Torn(_) => None,
    }
}

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
static ACCEPT4: Real<Accept4> =
    // SAFETY: this is the type of `accept4` (accept(2)).
    unsafe { Real::new(c"accept4") };

/// In front of `accept4`.
///
/// # Safety
/// As for `accept4`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let on_the_internet = kind(fd) == Kind::Socket;
    if on_the_internet && let Some(failed) = struck(Call::Accept, Subject::Descriptor(fd)) {
        return failed;
    }
    // SAFETY: the caller's arguments go on as they are.
    let accepted = unsafe { ACCEPT4.get()(fd, address, length, flags) };
    if accepted >= 0 {
        descriptors::note(accepted, Made::Accepted);
    }
    accepted
}

/// In front of `accept`, which is `accept4` without flags.
///
/// # Safety
/// As for `accept`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    // SAFETY: the caller's arguments go on as they are.
    unsafe { accept4(fd, address, length, 0) }
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
static CONNECT: Real<Connect> =
    // SAFETY: this is the type of `connect` (connect(2)).
    unsafe { Real::new(c"connect") };

/// In front of `connect`.
///
/// # Safety
/// As for `connect`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if kind(fd) == Kind::Socket {
        // SAFETY: the caller gives an address that is so long.
        let towards = unsafe { descriptors::address(address, length) };
        if let Some(failed) = struck(Call::Connect, Subject::Towards(towards)) {
            return failed;
        }
    }
    // SAFETY: the caller's arguments go on as they are.
    let result = unsafe { CONNECT.get()(fd, address, length) };
    if result == 0 || errno() == libc::EINPROGRESS {
        descriptors::note(fd, Made::Connected);
    }
    result
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
static SOCKET: Real<Socket> =
    // SAFETY: this is the type of `socket` (socket(2)).
    unsafe { Real::new(c"socket") };

/// In front of `socket`.
///
/// # Safety
/// As for `socket`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if matches!(domain, libc::AF_INET | libc::AF_INET6)
        && let Some(failed) = struck(Call::Socket, Subject::None)
    {
        return failed;
    }
    // SAFETY: the caller's arguments go on as they are.
    let made = unsafe { SOCKET.get()(domain, kind, protocol) };
    if made >= 0 {
        descriptors::note(made, Made::Otherwise);
    }
    made
}

type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
static EPOLL_WAIT: Real<EpollWait> =
    // SAFETY: this is the type of `epoll_wait` (epoll_wait(2)).
    unsafe { Real::new(c"epoll_wait") };

/// In front of `epoll_wait`.
///
/// # Safety
/// As for `epoll_wait`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(failed) = struck(Call::EpollWait, Subject::None) {
        return failed;
    }
    // SAFETY: the caller's arguments go on as they are.
    unsafe { EPOLL_WAIT.get()(epoll, events, most, timeout) }
}
