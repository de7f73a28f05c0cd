//! Connections to callers, which are closed once nothing can be written to them for a while.
//!
//! What waits to be written takes memory here and, for a stream, a run at an engine. An engine cuts a
//! stream itself that is not read for some seconds; the caller must see before that that it broke off.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use metrics::counter;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

/// How long a connection may take no byte that waits to be written. Engines cut a stream that stays unread
/// for some seconds. A caller that reads anything in this time is not cut.
pub const STALL_LIMIT: Duration = Duration::from_secs(2);

/// Bytes that the system holds for a connection. With the default of some megabytes, a caller that does
/// not read would be noticed late, and the kernel would report slow reading in large steps only.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// A connection to a caller.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// Ends when the bytes that wait to be written have waited for [`STALL_LIMIT`].
    limit: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Prepares a connection that was accepted.
    ///
    /// # Errors
    ///
    /// If the connection has broken already.
    pub fn new(inner: TcpStream) -> io::Result<Stream> {
        // Small pieces of an answer must leave at once.
        inner.set_nodelay(true)?;
        SockRef::from(&inner).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        Ok(Stream { inner, limit: None })
    }

    /// Breaks the connection if `written` has been pending for too long.
    fn check<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.limit = None;
            return written;
        }
        let limit = self.limit.get_or_insert_with(|| Box::pin(time::sleep(STALL_LIMIT)));
        ready!(limit.as_mut().poll(context));
        counter!("tealturn_callers_stalled_total").increment(1);
        // A reset frees what the system holds, and tells the caller that the answer is not complete even
        // where the end of the connection is the end of the answer.
        let reset = SockRef::from(&self.inner).set_linger(Some(Duration::ZERO));
        let reason = format!("the caller read nothing for {STALL_LIMIT:?}");
        Poll::Ready(Err(reset.err().unwrap_or(io::Error::new(io::ErrorKind::TimedOut, reason))))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, bytes);
        self.check(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
