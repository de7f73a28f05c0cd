//! A proxy between clients and a daemon whose machine can lose power: then its channels go silent.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// The link to a machine. An odd count of changes means that the machine has no power.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    changes: Arc<AtomicU64>,
}

impl Link {
    pub fn start(address: SocketAddr, daemon: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(address)?;
        let changes = Arc::new(AtomicU64::new(0));
        let shared = changes.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let changes = shared.clone();
                thread::spawn(move || carry(client, daemon, &changes));
            }
        });
        Ok(Link { address, changes })
    }

    /// Cuts or restores the power. Channels that were open don't come back.
    pub fn switch(&self) {
        self.changes.fetch_add(1, Ordering::SeqCst);
    }
}

fn carry(client: TcpStream, daemon: SocketAddr, changes: &Arc<AtomicU64>) -> Option<()> {
    let number = changes.load(Ordering::SeqCst);
    if number % 2 == 1 {
        hold();
    }
    let server = TcpStream::connect(daemon).ok()?;
    client.set_nodelay(true).ok()?;
    server.set_nodelay(true).ok()?;
    let (from, to) = (client.try_clone().ok()?, server.try_clone().ok()?);
    let shared = changes.clone();
    thread::spawn(move || pump(from, to, &shared, number));
    pump(server, client, changes, number);
    Some(())
}

/// Carries bytes one way until the end, or for good nothing once the machine has lost its power.
fn pump(mut from: TcpStream, mut to: TcpStream, changes: &AtomicU64, number: u64) {
    let mut bytes = [0; 4_096];
    loop {
        let read = from.read(&mut bytes);
        if changes.load(Ordering::SeqCst) != number {
            hold();
        }
        let is_carried = match read {
            Ok(length @ 1..) => to.write_all(&bytes[..length]).is_ok(),
            _ => false,
        };
        if !is_carried {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Keeps a channel open and silent until the process ends.
fn hold() -> ! {
    loop {
        thread::park();
    }
}
