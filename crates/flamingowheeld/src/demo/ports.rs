//! Binds one port on several IPs.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use tokio::net::TcpListener;

/// Number of ports tried before the error is returned.
const MAX_ATTEMPTS: u32 = 32;

/// Binds the same free port on every IP, as the processes of a fleet share their inner port.
///
/// Returns the listeners for the processes to use. If a free port were released again, another
/// socket could get it before its process binds it, and the fleet would occasionally fail to start.
pub(super) async fn bind_same_port(
    ips: &[IpAddr],
) -> io::Result<(u16, HashMap<IpAddr, TcpListener>)> {
    let mut attempts = 1;
    loop {
        match bind_any_port(ips).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < MAX_ATTEMPTS => {
                attempts += 1
            }
            listeners => return listeners,
        }
    }
}

/// Binds a port that is free on the first IP on all of them; fails if it is in use on another.
async fn bind_any_port(ips: &[IpAddr]) -> io::Result<(u16, HashMap<IpAddr, TcpListener>)> {
    let (mut port, mut listeners) = (0, HashMap::new());
    for ip in ips {
        let listener = TcpListener::bind((*ip, port)).await?;
        port = listener.local_addr()?.port();
        listeners.insert(*ip, listener);
    }
    Ok((port, listeners))
}

#[cfg(test)]
mod tests {
    use super::bind_same_port;
    use std::io::ErrorKind;
    use std::net::{IpAddr, Ipv4Addr};
    use tokio::net::TcpListener;

    // If the fleet chose a port without binding it, its first process could be assigned that port
    // when it binds port 0 on the same IP. The start would fail with "address already in use".
    #[tokio::test]
    async fn bind_same_port_is_not_assigned_again() {
        let ips: Vec<IpAddr> = (1..=3).map(|n| Ipv4Addr::new(127, 0, 3, n).into()).collect();
        let (port, listeners) = bind_same_port(&ips).await.unwrap();
        assert_eq!(listeners.len(), ips.len());
        for ip in ips {
            let error = TcpListener::bind((ip, port)).await.unwrap_err();
            assert_eq!(error.kind(), ErrorKind::AddrInUse);
        }
    }
}
