//! A relay for UDP that can stop passing anything on, as a middlebox that forgot a connection.

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

/// Largest datagram.
const DATAGRAM: usize = 65_536;

/// A relay in front of one address.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(socket, to, cut.clone()));
        Self { address, cut }
    }

    /// Drops everything from now on, or passes it on again.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

async fn forward(socket: Arc<UdpSocket>, to: SocketAddr, cut: Arc<AtomicBool>) {
    let mut peers = HashMap::<SocketAddr, Arc<UdpSocket>>::new();
    let mut buffer = vec![0; DATAGRAM];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if cut.load(Ordering::SeqCst) {
            continue;
        }
        if let Entry::Vacant(vacant) = peers.entry(from) {
            let own = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
            own.connect(to).await.unwrap();
            tokio::spawn(back(socket.clone(), own.clone(), from, cut.clone()));
            vacant.insert(own);
        }
        let _ = peers[&from].send(&buffer[..length]).await;
    }
}

async fn back(socket: Arc<UdpSocket>, own: Arc<UdpSocket>, to: SocketAddr, cut: Arc<AtomicBool>) {
    let mut buffer = vec![0; DATAGRAM];
    while let Ok(length) = own.recv(&mut buffer).await {
        if cut.load(Ordering::SeqCst) {
            continue;
        }
        let _ = socket.send_to(&buffer[..length], to).await;
    }
}
