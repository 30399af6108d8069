//! What a descriptor is: a socket of the internet, accepted or connected, or a file with a path.

use crate::real::Real;
use libc::{c_int, epoll_event, sockaddr, sockaddr_storage, socklen_t};
use std::ffi::{CString, OsString};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::os::unix::ffi::OsStringExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI32, AtomicU8, AtomicU32, AtomicU64, Ordering};

/// Descriptors that are told apart; a process under test has fewer.
const KNOWN: usize = 16_384;

/// How a socket has come to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Made {
    /// Neither accepted nor connected.
    Otherwise = 0,
    /// By `accept`.
    Accepted = 1,
    /// By `connect`.
    Connected = 2,
}

/// What a descriptor stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A socket of IPv4 or IPv6.
    Socket,
    /// A regular file.
    File,
    /// Anything else, such as a pipe or a local socket.
    Other,
}

static MADE: [AtomicU8; KNOWN] = [const { AtomicU8::new(0) }; KNOWN];

/// Where a descriptor is registered for events, to have it looked at again.
struct Registered {
    epoll: AtomicI32,
    events: AtomicU32,
    data: AtomicU64,
}

static REGISTERED: [Registered; KNOWN] = [const {
    Registered { epoll: AtomicI32::new(-1), events: AtomicU32::new(0), data: AtomicU64::new(0) }
}; KNOWN];

fn known<T>(table: &'static [T; KNOWN], fd: c_int) -> Option<&'static T> {
    table.get(usize::try_from(fd).ok()?)
}

/// Notes how a socket has come to be.
pub fn note(fd: c_int, made: Made) {
    if let Some(place) = known(&MADE, fd) {
        place.store(made as u8, Ordering::Release);
    }
    if made != Made::Connected
        && let Some(registered) = known(&REGISTERED, fd)
    {
        registered.epoll.store(-1, Ordering::Release);
    }
}

fn is_made(fd: c_int, made: Made) -> bool {
    known(&MADE, fd).is_some_and(|place| place.load(Ordering::Acquire) == made as u8)
}

/// Whether `accept` has made it.
pub fn is_accepted(fd: c_int) -> bool {
    is_made(fd, Made::Accepted)
}

/// Whether it was connected.
pub fn is_connected(fd: c_int) -> bool {
    is_made(fd, Made::Connected)
}

/// What it stands for.
pub fn kind(fd: c_int) -> Kind {
    let mut status = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: `status` is valid for writes; any number may be asked about.
    if unsafe { libc::fstat(fd, status.as_mut_ptr()) } != 0 {
        return Kind::Other;
    }
    // SAFETY: `fstat` has succeeded and has written it.
    let mode = unsafe { status.assume_init() }.st_mode & libc::S_IFMT;
    match mode {
        libc::S_IFREG => Kind::File,
        libc::S_IFSOCK if matches!(domain(fd), Some(libc::AF_INET | libc::AF_INET6)) => Kind::Socket,
        _ => Kind::Other,
    }
}

fn domain(fd: c_int) -> Option<c_int> {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: `domain` is valid for writes of `length` bytes, and so is `length`.
    let result = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &mut length)
    };
    (result == 0).then_some(domain)
}

/// The other end of a socket.
pub fn peer(fd: c_int) -> Option<SocketAddr> {
    let mut storage = MaybeUninit::<sockaddr_storage>::zeroed();
    let mut length = size_of::<sockaddr_storage>() as socklen_t;
    // SAFETY: `storage` is valid for writes of `length` bytes, and so is `length`.
    let result = unsafe { libc::getpeername(fd, storage.as_mut_ptr().cast(), &mut length) };
    if result != 0 {
        return None;
    }
    // SAFETY: the kernel has written `length` bytes of an address there.
    unsafe { address(storage.as_ptr().cast(), length) }
}

/// An address of the internet as the C library has it.
///
/// # Safety
/// `length` bytes at `place` are valid for reads, unless it is null.
pub unsafe fn address(place: *const sockaddr, length: socklen_t) -> Option<SocketAddr> {
    let length = length as usize;
    if place.is_null() || length < size_of::<libc::sa_family_t>() {
        return None;
    }
    // SAFETY: the family stands in the first bytes, which are there.
    let family = c_int::from(unsafe { place.cast::<libc::sa_family_t>().read_unaligned() });
    if family == libc::AF_INET && length >= size_of::<libc::sockaddr_in>() {
        // SAFETY: the family and the length say that this is there.
        let v4 = unsafe { place.cast::<libc::sockaddr_in>().read_unaligned() };
        let ip = Ipv4Addr::from(u32::from_be(v4.sin_addr.s_addr));
        return Some(SocketAddr::from((ip, u16::from_be(v4.sin_port))));
    }
    if family == libc::AF_INET6 && length >= size_of::<libc::sockaddr_in6>() {
        // SAFETY: the family and the length say that this is there.
        let v6 = unsafe { place.cast::<libc::sockaddr_in6>().read_unaligned() };
        return Some(SocketAddr::from((Ipv6Addr::from(v6.sin6_addr.s6_addr), u16::from_be(v6.sin6_port))));
    }
    None
}

/// The path of a file.
pub fn path(fd: c_int) -> Option<PathBuf> {
    link(&format!("/proc/self/fd/{fd}"))
}

/// A path relative to a folder's descriptor, made absolute.
pub fn absolute(folder: c_int, path: &Path) -> Option<PathBuf> {
    if path.is_absolute() {
        return Some(path.to_owned());
    }
    let folder = if folder == libc::AT_FDCWD { link("/proc/self/cwd") } else { self::path(folder) };
    Some(folder?.join(path))
}

/// Where a link leads.
fn link(name: &str) -> Option<PathBuf> {
    let name = CString::new(name).ok()?;
    let mut bytes = vec![0_u8; libc::PATH_MAX as usize];
    // SAFETY: the name is a C string, and `bytes` is valid for writes of its length.
    let length = unsafe { libc::readlink(name.as_ptr(), bytes.as_mut_ptr().cast(), bytes.len()) };
    bytes.truncate(usize::try_from(length).ok()?);
    Some(OsString::from_vec(bytes).into())
}

type EpollCtl = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;
static EPOLL_CTL: Real<EpollCtl> =
    // SAFETY: this is the type of `epoll_ctl` (epoll_ctl(2)).
    unsafe { Real::new(c"epoll_ctl") };

/// In front of `epoll_ctl`: notes where a descriptor is registered.
///
/// # Safety
/// As for `epoll_ctl`.
// SAFETY: the symbol stands for a function of the same type.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut epoll_event,
) -> c_int {
    // SAFETY: the caller's arguments go on as they are.
    let result = unsafe { EPOLL_CTL.get()(epoll, operation, fd, event) };
    let Some(registered) = known(&REGISTERED, fd).filter(|_| result == 0) else { return result };
    if operation == libc::EPOLL_CTL_DEL || event.is_null() {
        registered.epoll.store(-1, Ordering::Release);
    } else {
        // SAFETY: the call has succeeded with this event, so that it is valid for reads.
        let event = unsafe { event.read_unaligned() };
        registered.events.store(event.events, Ordering::Release);
        registered.data.store(event.u64, Ordering::Release);
        registered.epoll.store(epoll, Ordering::Release);
    }
    result
}

/// Has the kernel tell again what a descriptor is ready for. A call that was cut short leaves it ready without a
/// new edge, while epoll(7) lets a program take fewer bytes than it has asked for as the end of readiness.
pub fn look_again(fd: c_int) {
    let Some(registered) = known(&REGISTERED, fd) else { return };
    let epoll = registered.epoll.load(Ordering::Acquire);
    if epoll < 0 {
        return;
    }
    let mut event = epoll_event {
        events: registered.events.load(Ordering::Acquire),
        u64: registered.data.load(Ordering::Acquire),
    };
    // SAFETY: the event is valid; where the registration has ended meanwhile, the kernel refuses.
    unsafe { EPOLL_CTL.get()(epoll, libc::EPOLL_CTL_MOD, fd, &mut event) };
}
