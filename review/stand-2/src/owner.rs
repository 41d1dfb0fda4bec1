//! Which process holds the other end of a loopback connection. A runner answers its own machine's
//! agent fresh, and all others as of some time ago.

use std::fs;
use std::net::{SocketAddr, TcpStream};

/// Whether the peer of a connection is a socket of the process `pid`.
pub fn is_peer_of(stream: &TcpStream, pid: u32) -> bool {
    let Ok(peer) = stream.peer_addr() else { return false };
    let Some(inode) = inode_of(peer) else { return false };
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let target = format!("socket:[{inode}]");
    let links = descriptors.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.into_iter().any(|link| link.to_string_lossy() == target)
}

/// The inode of the socket that is bound to an address, as the kernel lists it.
fn inode_of(address: SocketAddr) -> Option<u64> {
    let SocketAddr::V4(address) = address else { return None };
    let [a, b, c, d] = address.ip().octets();
    let ip = u32::from_le_bytes([a, b, c, d]);
    let wanted = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().find(|line| line.split_whitespace().nth(1) == Some(&wanted))?;
    row.split_whitespace().nth(9)?.parse().ok()
}
