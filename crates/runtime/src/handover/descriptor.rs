//! Passing of the clients' listening socket over a Unix socket (`SCM_RIGHTS`), and binding it where no process serves.

use crate::interrupts::uninterrupted;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, UnixStream};

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// The byte that carries the descriptor: a message on a stream socket can't be empty.
const PAYLOAD: &[u8; 1] = b"L";

/// Binds a listening socket for clients. `shared` lets a second process bind the same port (`SO_REUSEPORT`), for a
/// successor that can't be handed the socket; otherwise a second process there is an error.
///
/// # Errors
/// The address can't be bound.
pub fn bind(listen: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// Sends a descriptor.
pub(super) async fn send(stream: &UnixStream, descriptor: &OwnedFd) -> io::Result<()> {
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            let descriptors = [descriptor.as_fd()];
            if !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                return Err(io::Error::other("no space for the socket"));
            }
            uninterrupted(|| {
                Ok(sendmsg(stream, &[IoSlice::new(PAYLOAD)], &mut ancillary, SendFlags::empty())?)
            })?;
            Ok(())
        })
        .await
}

/// Receives a listening socket.
pub(super) async fn receive(stream: &UnixStream) -> io::Result<TcpListener> {
    let descriptor = stream
        .async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let mut payload = [0; PAYLOAD.len()];
            uninterrupted(|| {
                let payload = &mut [IoSliceMut::new(&mut payload)];
                Ok(recvmsg(stream, payload, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?)
            })?;
            let descriptor = ancillary.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
                _ => None,
            });
            descriptor.ok_or_else(|| io::Error::other("the predecessor sent no socket"))
        })
        .await?;
    let listener = std::net::TcpListener::from(descriptor);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
