//! UDP relay that can lose its state of a flow, like a middlebox.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::{
    net::UdpSocket,
    task::JoinHandle, //
};

/// Directions in which a flow's datagrams are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Packets in both directions.
    Both,
    /// Packets from the sidecar to the entry.
    ToEntry,
    /// Packets from the entry to the sidecar.
    ToSidecar,
}

/// UDP relay in front of one sidecar.
pub struct Relay {
    /// Address that entries connect to.
    pub address: SocketAddr,
    flows: Arc<Mutex<HashMap<SocketAddr, Flow>>>,
    task: JoinHandle<()>,
}

/// Traffic of one entry.
struct Flow {
    upstream: Arc<UdpSocket>,
    cut: Option<Cut>,
    task: JoinHandle<()>,
}

type Flows = Arc<Mutex<HashMap<SocketAddr, Flow>>>;

impl Relay {
    /// Starts a relay in front of `sidecar`.
    pub async fn start(sidecar: SocketAddr) -> Relay {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let address = socket.local_addr().expect("an address");
        let flows = Flows::default();
        let task = tokio::spawn(forward(Arc::new(socket), sidecar, flows.clone()));
        Relay {
            address,
            flows,
            task,
        }
    }

    /// Drops traffic of all current flows for good; new flows aren't affected.
    pub fn cut_flows(&self, cut: Cut) {
        let mut flows = self.flows.lock().expect("the mutex isn't poisoned");
        for flow in flows.values_mut() {
            flow.cut = Some(cut);
        }
    }
}

async fn forward(socket: Arc<UdpSocket>, sidecar: SocketAddr, flows: Flows) {
    let mut buffer = vec![0; 65536];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if !flows
            .lock()
            .expect("the mutex isn't poisoned")
            .contains_key(&from)
        {
            let flow = open_flow(socket.clone(), from, sidecar, flows.clone()).await;
            flows
                .lock()
                .expect("the mutex isn't poisoned")
                .insert(from, flow);
        }
        let upstream = {
            let flows = flows.lock().expect("the mutex isn't poisoned");
            let flow = &flows[&from];
            let forwards = matches!(flow.cut, None | Some(Cut::ToEntry));
            forwards.then(|| flow.upstream.clone())
        };
        if let Some(upstream) = upstream {
            let _ = upstream.send(&buffer[..length]).await;
        }
    }
}

async fn open_flow(
    socket: Arc<UdpSocket>,
    from: SocketAddr,
    sidecar: SocketAddr,
    flows: Flows,
) -> Flow {
    let upstream = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
    upstream.connect(sidecar).await.expect("an address");
    let replies = upstream.clone();
    let task = tokio::spawn(async move {
        let mut buffer = vec![0; 65536];
        while let Ok(length) = replies.recv(&mut buffer).await {
            let cut = flows.lock().expect("the mutex isn't poisoned")[&from].cut;
            if matches!(cut, None | Some(Cut::ToSidecar)) {
                let _ = socket.send_to(&buffer[..length], from).await;
            }
        }
    });
    Flow {
        upstream,
        cut: None,
        task,
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        for flow in self
            .flows
            .lock()
            .expect("the mutex isn't poisoned")
            .values()
        {
            flow.task.abort();
        }
    }
}
