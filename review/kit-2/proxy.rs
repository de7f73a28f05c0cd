//! A proxy between daemons and a runner. It finds out which daemon has opened a channel, so that single
//! daemons can be cut off: their channels go silent.

use std::{
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A daemon's process, and whether it is cut off from the runners.
#[derive(Clone)]
pub struct Side {
    pub process: u32,
    pub is_cut: Arc<AtomicBool>,
}

/// Starts a proxy at `address` before the runner at `runner`.
pub fn start(address: &str, runner: &str, sides: &[Side]) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|it| it.to_string())?;
    let runner: SocketAddr = runner.parse().map_err(|_| "no address".to_owned())?;
    let sides = sides.to_vec();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let sides = sides.clone();
            thread::spawn(move || carry(client, runner, &sides));
        }
    });
    Ok(())
}

fn carry(client: TcpStream, runner: SocketAddr, sides: &[Side]) -> Option<()> {
    let socket = find_socket(client.peer_addr().ok()?, client.local_addr().ok()?);
    let side = socket.and_then(|it| sides.iter().find(|side| has_socket(side.process, &it)));
    let is_cut = side.map(|it| it.is_cut.clone()).unwrap_or_default();
    let server = TcpStream::connect(runner).ok()?;
    client.set_nodelay(true).ok()?;
    server.set_nodelay(true).ok()?;
    let (from, to, shared) = (client.try_clone().ok()?, server.try_clone().ok()?, is_cut.clone());
    thread::spawn(move || pump(from, to, &shared));
    pump(server, client, &is_cut);
    Some(())
}

/// The socket of the process that opened a channel, as `/proc` names it.
fn find_socket(opener: SocketAddr, other: SocketAddr) -> Option<String> {
    let encode = |address: SocketAddr| match address {
        SocketAddr::V4(it) => {
            format!("{:08X}:{:04X}", u32::from_le_bytes(it.ip().octets()), it.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let (local, remote) = (encode(opener), encode(other));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let rows = table.lines().map(|it| it.split_whitespace().collect::<Vec<_>>());
    let mut rows = rows.filter(|it| it.len() > 9 && it[1] == local && it[2] == remote);
    rows.next().map(|it| format!("socket:[{}]", it[9]))
}

fn has_socket(process: u32, socket: &str) -> bool {
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let mut targets = files.filter_map(|it| fs::read_link(it.path()).ok());
    targets.any(|it| it.as_os_str() == socket)
}

/// Carries bytes one way, or nothing while the daemon is cut off.
fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 4_096];
    loop {
        let read = from.read(&mut bytes);
        if is_cut.load(Ordering::Relaxed) {
            // What is under way when the cut begins is lost with its channel.
            while is_cut.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
        } else if let Ok(length @ 1..) = read
            && to.write_all(&bytes[..length]).is_ok()
        {
            continue;
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
        return;
    }
}
