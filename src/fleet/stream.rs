//! An h2 stream as a stream of bytes, which `tarpc` runs over.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Both directions of an h2 stream.
pub struct Stream {
    send: SendStream<Bytes>,
    receive: RecvStream,
    unread: Bytes,
}

impl Stream {
    /// Joins the two directions.
    pub fn new(send: SendStream<Bytes>, receive: RecvStream) -> Stream {
        Stream { send, receive, unread: Bytes::new() }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            let Some(data) = ready!(self.receive.poll_data(cx)) else {
                return Poll::Ready(Ok(()));
            };
            self.unread = data.map_err(io::Error::other)?;
            let length = self.unread.len();
            counter!("tealturn_peer_received_bytes_total").increment(length as u64);
            let control = self.receive.flow_control();
            control.release_capacity(length).map_err(io::Error::other)?;
        }
        let length = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.send.reserve_capacity(buf.len());
        while self.send.capacity() == 0 {
            match ready!(self.send.poll_capacity(cx)) {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            }
        }
        let length = self.send.capacity().min(buf.len());
        let data = Bytes::copy_from_slice(&buf[..length]);
        counter!("tealturn_peer_sent_bytes_total").increment(length as u64);
        let sent = self.send.send_data(data, false).map_err(io::Error::other);
        Poll::Ready(sent.map(|()| length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sent = self.send.send_data(Bytes::new(), true);
        Poll::Ready(sent.map_err(io::Error::other))
    }
}
