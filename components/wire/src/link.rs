//! Links between our processes: QUIC connections whose two ends are known by certificate.

use std::{
    net::{
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

use names::Host;
use quinn::{
    ClientConfig,
    Connection,
    Endpoint,
    IdleTimeout,
    ServerConfig,
    TransportConfig,
    VarInt, //
};
use rustls_pki_types::CertificateDer;
use settings::Keys;

use crate::{
    Error,
    Stream,
    tls, //
};

/// Streams that a peer may have open at once on one link: generations, calls and the first one.
const STREAMS: u32 = 4096;

/// Code of a link that one side closes.
const CLOSED: u32 = 0;

/// One process on the network: it dials links and answers them on one UDP socket.
#[derive(Clone)]
pub struct Node {
    endpoint: Endpoint,
    client: ClientConfig,
}

/// A connection to another of our processes.
#[derive(Clone, Debug)]
pub struct Link {
    connection: Connection,
}

/// A link that somebody dials, before its handshake is done.
pub struct Incoming(quinn::Incoming);

impl Node {
    /// Binds the socket. A link on which nothing comes for `silence` is lost, on both sides; so
    /// both must send heartbeats well within that time.
    pub fn bind(address: SocketAddr, keys: &Keys, silence: Duration) -> Result<Self, Error> {
        let transport = Arc::new(transport(silence)?);
        let mut server = ServerConfig::with_crypto(Arc::new(tls::server(keys)?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(tls::client(keys)?));
        client.transport_config(transport);
        let mut endpoint =
            Endpoint::server(server, address).map_err(|source| Error::Bind { address, source })?;
        endpoint.set_default_client_config(client.clone());
        Ok(Self { endpoint, client })
    }

    /// The address that the socket got.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Dials a host; its certificate must be made for that name.
    pub async fn dial(&self, address: SocketAddr, host: &str) -> Result<Link, Error> {
        let connecting = self
            .endpoint
            .connect(address, host)
            .map_err(|error| Error::Lost(error.to_string()))?;
        let connection = connecting.await.map_err(sort)?;
        Ok(Link { connection })
    }

    /// Dials a host from a socket of its own.
    ///
    /// Something between the two ends can lose track of a pair of addresses: then every link on it
    /// is silent for good, a new one from the same socket too, and only another port passes.
    pub async fn dial_from_new_socket(
        &self,
        address: SocketAddr,
        host: &str,
    ) -> Result<Link, Error> {
        let any = match address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        // The endpoint lives as long as its one connection.
        let endpoint = Endpoint::client(any).map_err(|source| Error::Bind {
            address: any,
            source,
        })?;
        let connecting = endpoint
            .connect_with(self.client.clone(), address, host)
            .map_err(|error| Error::Lost(error.to_string()))?;
        let connection = connecting.await.map_err(sort)?;
        Ok(Link { connection })
    }

    /// Waits for somebody to dial; none once the node is closed.
    pub async fn accept(&self) -> Option<Incoming> {
        self.endpoint.accept().await.map(Incoming)
    }

    /// Closes every link, and waits until the peers have been told.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(CLOSED), b"closed");
        self.endpoint.wait_idle().await;
    }
}

impl Incoming {
    /// Address of the side that dials.
    pub fn address(&self) -> SocketAddr {
        self.0.remote_address()
    }

    /// Does the handshake; fails when the peer's certificate is not of our authority.
    pub async fn accept(self) -> Result<Link, Error> {
        let connection = self.0.await.map_err(sort)?;
        Ok(Link { connection })
    }
}

impl Link {
    /// Opens a stream. The peer sees it once something is sent on it.
    pub async fn open(&self) -> Result<Stream, Error> {
        self.connection
            .open_bi()
            .await
            .map(Stream::new)
            .map_err(|error| Error::Lost(error.to_string()))
    }

    /// Waits for a stream that the peer opens.
    pub async fn accept(&self) -> Result<Stream, Error> {
        self.connection
            .accept_bi()
            .await
            .map(Stream::new)
            .map_err(|error| Error::Lost(error.to_string()))
    }

    /// Checks that the peer's certificate was made for the name that it claims.
    ///
    /// Without this check any process with a certificate of ours could speak for another host:
    /// announce it as leaving, or take its traffic.
    pub fn verify_host(&self, claimed: &Host) -> Result<(), Error> {
        let foreign = || Error::Foreign(format!("the peer is not {claimed}"));
        let identity = self.connection.peer_identity().ok_or_else(foreign)?;
        let chain = identity
            .downcast::<Vec<CertificateDer<'static>>>()
            .map_err(|_| foreign())?;
        let first = chain.first().ok_or_else(foreign)?;
        if !tls::is_for(first, claimed) {
            return Err(foreign());
        }
        Ok(())
    }

    /// Waits until the link is lost or closed, and says why.
    pub async fn closed(&self) -> String {
        self.connection.closed().await.to_string()
    }

    /// Tells whether the link is lost or closed.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Closes the link; every stream on it fails.
    pub fn close(&self) {
        self.connection.close(VarInt::from_u32(CLOSED), b"closed");
    }

    /// Smoothed time to the peer and back.
    pub fn round_trip(&self) -> Duration {
        self.connection.rtt()
    }

    /// Bytes sent and received on this link so far, as UDP payload.
    pub fn bytes(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }
}

fn transport(silence: Duration) -> Result<TransportConfig, Error> {
    let idle = IdleTimeout::try_from(silence).map_err(|error| Error::Keys(error.to_string()))?;
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(transport)
}

/// Tells a peer whose certificate we refuse (or that refuses ours) from one that is not there.
fn sort(error: quinn::ConnectionError) -> Error {
    let text = error.to_string();
    match error {
        quinn::ConnectionError::TransportError(inner) if is_tls(u64::from(inner.code)) => {
            Error::Foreign(text)
        }
        quinn::ConnectionError::ConnectionClosed(ref close)
            if is_tls(u64::from(close.error_code)) =>
        {
            Error::Foreign(text)
        }
        _ => Error::Lost(text),
    }
}

/// QUIC carries TLS alerts as codes from 0x100 to 0x1ff.
fn is_tls(code: u64) -> bool {
    (0x100..0x200).contains(&code)
}
