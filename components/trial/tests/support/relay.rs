//! Something between two ends that loses track of their connections.

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

/// What becomes of the flows that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes any more.
    Both,
    /// Nothing of the sidecar's passes any more.
    ToEntry,
    /// Nothing of the entry's passes any more.
    ToSidecar,
}

/// A UDP relay before one sidecar.
pub struct Relay {
    /// Address for entries.
    pub address: SocketAddr,
    flows: Arc<Mutex<HashMap<SocketAddr, Flow>>>,
    task: JoinHandle<()>,
}

struct Flow {
    out: Arc<UdpSocket>,
    cut: Option<Cut>,
    task: JoinHandle<()>,
}

type Flows = Arc<Mutex<HashMap<SocketAddr, Flow>>>;

impl Relay {
    /// Starts a relay before `sidecar`.
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

    /// Loses track of every flow of now; new ones pass.
    pub fn forget(&self, cut: Cut) {
        let mut flows = self.flows.lock().expect("no panic while held");
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
            .expect("no panic while held")
            .contains_key(&from)
        {
            let flow = flow(socket.clone(), from, sidecar, flows.clone()).await;
            flows
                .lock()
                .expect("no panic while held")
                .insert(from, flow);
        }
        let out = {
            let flows = flows.lock().expect("no panic while held");
            let flow = &flows[&from];
            let passes = matches!(flow.cut, None | Some(Cut::ToEntry));
            passes.then(|| flow.out.clone())
        };
        if let Some(out) = out {
            let _ = out.send(&buffer[..length]).await;
        }
    }
}

async fn flow(socket: Arc<UdpSocket>, from: SocketAddr, sidecar: SocketAddr, flows: Flows) -> Flow {
    let out = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
    out.connect(sidecar).await.expect("an address");
    let back = out.clone();
    let task = tokio::spawn(async move {
        let mut buffer = vec![0; 65536];
        while let Ok(length) = back.recv(&mut buffer).await {
            let cut = flows.lock().expect("no panic while held")[&from].cut;
            if matches!(cut, None | Some(Cut::ToSidecar)) {
                let _ = socket.send_to(&buffer[..length], from).await;
            }
        }
    });
    Flow {
        out,
        cut: None,
        task,
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        for flow in self.flows.lock().expect("no panic while held").values() {
            flow.task.abort();
        }
    }
}
