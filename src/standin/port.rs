//! A listener that can crash and come back, and whose open connections can go silent.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::http::server::Handler;

/// Wait before the port of a crashed stand-in is bound again.
const BIND_INTERVAL: Duration = Duration::from_millis(10);

/// Controls the connections of one listener.
#[derive(Debug)]
pub struct Switch {
    /// Connections opened under a lower number are silent.
    epoch: AtomicU64,
    up: watch::Sender<bool>,
}

impl Default for Switch {
    fn default() -> Switch {
        Switch { epoch: AtomicU64::new(0), up: watch::Sender::new(true) }
    }
}

impl Switch {
    /// All open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the listener and all connections.
    pub fn down(&self) {
        self.up.send_replace(false);
    }

    /// Listens again, at the same address.
    pub fn up(&self) {
        self.up.send_replace(true);
    }

    fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Relaxed)
    }
}

/// Serves HTTP/1.1 until `stop`, then closes everything at once.
pub async fn serve(
    listener: TcpListener,
    switch: Arc<Switch>,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut up = switch.up.subscribe();
    let mut open = Some(listener);
    loop {
        let listener = match open.take() {
            Some(listener) => listener,
            None => bind(address).await,
        };
        tokio::select! {
            () = accept(listener, &switch, &handler) => {}
            _ = up.wait_for(|up| !up) => {}
            () = stop.cancelled() => return Ok(()),
        }
        tokio::select! {
            _ = up.wait_for(|up| *up) => {}
            () = stop.cancelled() => return Ok(()),
        }
    }
}

async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => time::sleep(BIND_INTERVAL).await,
        }
    }
}

/// Accepts connections. They are closed when this future is dropped.
async fn accept(listener: TcpListener, switch: &Arc<Switch>, handler: &Arc<dyn Handler>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else { continue };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let stream = Stream { stream, epoch: switch.epoch(), switch: switch.clone() };
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Clients may break off at any time.
            drop(connection.await);
        });
    }
}

/// A connection that passes no more bytes once it is silent.
struct Stream {
    stream: TcpStream,
    epoch: u64,
    switch: Arc<Switch>,
}

impl Stream {
    fn is_silent(&self) -> bool {
        self.epoch < self.switch.epoch()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
