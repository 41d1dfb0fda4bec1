//! One port that is free on several IPs.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use tokio::net::TcpListener;

/// How many ports are tried.
const TRIES: u32 = 32;

/// Listens on the same port on every IP, as all processes of a fleet do.
///
/// The listeners are kept for the processes to come. A port that is only found free and let go can
/// be given away before its process binds it, and the fleet would not start, now and then.
pub(super) async fn hold_same_port(
    ips: &[IpAddr],
) -> io::Result<(u16, HashMap<IpAddr, TcpListener>)> {
    let mut tries = 1;
    loop {
        match hold_any(ips).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < TRIES => tries += 1,
            held => return held,
        }
    }
}

/// Takes the port that is free on the first IP; an error if another IP has it in use.
async fn hold_any(ips: &[IpAddr]) -> io::Result<(u16, HashMap<IpAddr, TcpListener>)> {
    let (mut port, mut held) = (0, HashMap::new());
    for ip in ips {
        let listener = TcpListener::bind((*ip, port)).await?;
        port = listener.local_addr()?.port();
        held.insert(*ip, listener);
    }
    Ok((port, held))
}

#[cfg(test)]
mod tests {
    use super::hold_same_port;
    use std::io::ErrorKind;
    use std::net::{IpAddr, Ipv4Addr};
    use tokio::net::TcpListener;

    // The fleet picks its port, then its first process asks for any port on the same IP and is given
    // that one. The fleet ends with "address already in use" although nothing else runs.
    #[tokio::test]
    async fn hold_same_port_nobody_else_gets_it() {
        let ips: Vec<IpAddr> = (1..=3).map(|n| Ipv4Addr::new(127, 0, 3, n).into()).collect();
        let (port, held) = hold_same_port(&ips).await.unwrap();
        assert_eq!(held.len(), ips.len());
        for ip in ips {
            let taken = TcpListener::bind((ip, port)).await.unwrap_err();
            assert_eq!(taken.kind(), ErrorKind::AddrInUse);
        }
    }
}
