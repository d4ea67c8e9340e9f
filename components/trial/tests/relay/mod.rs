//! UDP relay that can drop all traffic, like a middlebox that lost its connection state.

use std::{
    collections::{
        HashMap,
        hash_map::Entry, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use tokio::net::UdpSocket;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Relay in front of one address.
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    dropping: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        let dropping = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(socket, target, dropping.clone()));
        Self { address, dropping }
    }

    /// Sets whether the relay drops all datagrams.
    pub fn set_dropping(&self, dropping: bool) {
        self.dropping.store(dropping, Ordering::SeqCst);
    }
}

async fn forward(socket: Arc<UdpSocket>, target: SocketAddr, dropping: Arc<AtomicBool>) {
    let mut peers = HashMap::<SocketAddr, Arc<UdpSocket>>::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if dropping.load(Ordering::SeqCst) {
            continue;
        }
        if let Entry::Vacant(vacant) = peers.entry(from) {
            let upstream = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
            upstream.connect(target).await.unwrap();
            tokio::spawn(backward(
                socket.clone(),
                upstream.clone(),
                from,
                dropping.clone(),
            ));
            vacant.insert(upstream);
        }
        let _ = peers[&from].send(&buffer[..length]).await;
    }
}

async fn backward(
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    peer: SocketAddr,
    dropping: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok(length) = upstream.recv(&mut buffer).await {
        if dropping.load(Ordering::SeqCst) {
            continue;
        }
        let _ = socket.send_to(&buffer[..length], peer).await;
    }
}
