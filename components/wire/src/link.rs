//! Links between processes: QUIC connections whose peers authenticate by certificate.

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

/// Maximum number of streams that a peer may have open at once on one link: one per generation and
/// call, and the first one.
const MAX_STREAMS_PER_LINK: u32 = 4096;

/// QUIC error code of a link that is closed normally.
const LINK_CLOSED_CODE: u32 = 0;

/// The endpoint of a process: it dials and accepts links on one UDP socket.
#[derive(Clone)]
pub struct Node {
    endpoint: Endpoint,
    client: ClientConfig,
}

/// A connection to another process.
#[derive(Clone, Debug)]
pub struct Link {
    connection: Connection,
}

/// A link that a peer dials, before its handshake is complete.
pub struct Incoming(quinn::Incoming);

impl Node {
    /// Binds the UDP socket. A link on which nothing is received for `idle_timeout` is lost on both
    /// sides, so both must send heartbeats well within that time.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] when the address can't be bound, [`Error::Keys`] when the keys or the idle
    /// timeout can't be used.
    pub fn bind(address: SocketAddr, keys: &Keys, idle_timeout: Duration) -> Result<Self, Error> {
        let transport_config = Arc::new(transport_config(idle_timeout)?);
        let mut server = ServerConfig::with_crypto(Arc::new(tls::server(keys)?));
        server.transport_config(transport_config.clone());
        let mut client = ClientConfig::new(Arc::new(tls::client(keys)?));
        client.transport_config(transport_config);
        let mut endpoint =
            Endpoint::server(server, address).map_err(|source| Error::Bind { address, source })?;
        endpoint.set_default_client_config(client.clone());
        Ok(Self { endpoint, client })
    }

    /// Returns the address that the socket is bound to.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Dials a host, whose certificate must be valid for that name.
    ///
    /// # Errors
    ///
    /// [`Error::Foreign`] when TLS fails on either side, [`Error::Lost`] when the host can't be
    /// reached.
    pub async fn dial(&self, address: SocketAddr, host: &str) -> Result<Link, Error> {
        let connecting = self
            .endpoint
            .connect(address, host)
            .map_err(|error| Error::Lost(error.to_string()))?;
        let connection = connecting.await.map_err(classify)?;
        Ok(Link { connection })
    }

    /// Dials a host from a new socket.
    ///
    /// A middlebox or host can lose track of one address pair: every link on that pair then stays
    /// silent, including a new one from the same socket, and only another port works.
    pub async fn dial_from_new_socket(
        &self,
        address: SocketAddr,
        host: &str,
    ) -> Result<Link, Error> {
        let local = match address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        // The endpoint lives as long as its only connection.
        let endpoint = Endpoint::client(local).map_err(|source| Error::Bind {
            address: local,
            source,
        })?;
        let connecting = endpoint
            .connect_with(self.client.clone(), address, host)
            .map_err(|error| Error::Lost(error.to_string()))?;
        let connection = connecting.await.map_err(classify)?;
        Ok(Link { connection })
    }

    /// Waits until a peer dials; `None` if the node is closed.
    pub async fn accept(&self) -> Option<Incoming> {
        self.endpoint.accept().await.map(Incoming)
    }

    /// Closes every link, and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint
            .close(VarInt::from_u32(LINK_CLOSED_CODE), b"closed");
        self.endpoint.wait_idle().await;
    }
}

impl Incoming {
    /// Returns the address of the dialling side.
    pub fn address(&self) -> SocketAddr {
        self.0.remote_address()
    }

    /// Completes the handshake.
    ///
    /// # Errors
    ///
    /// [`Error::Foreign`] when the peer's certificate isn't signed by the configured authority,
    /// [`Error::Lost`] when the connection fails.
    pub async fn accept(self) -> Result<Link, Error> {
        let connection = self.0.await.map_err(classify)?;
        Ok(Link { connection })
    }
}

impl Link {
    /// Opens a stream. The peer learns of it once something is sent on it.
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

    /// Checks that the peer's certificate is valid for the host name that the peer claims.
    ///
    /// Without this check, any process with a valid certificate could impersonate another host:
    /// announce it as leaving, or take over its traffic.
    ///
    /// # Errors
    ///
    /// [`Error::Foreign`] when it isn't valid.
    pub fn verify_host(&self, claimed: &Host) -> Result<(), Error> {
        let foreign =
            || Error::Foreign(format!("the peer's certificate isn't valid for {claimed}"));
        let identity = self.connection.peer_identity().ok_or_else(foreign)?;
        let chain = identity
            .downcast::<Vec<CertificateDer<'static>>>()
            .map_err(|_| foreign())?;
        let first = chain.first().ok_or_else(foreign)?;
        if !tls::is_valid_for(first, claimed) {
            return Err(foreign());
        }
        Ok(())
    }

    /// Waits until the link is lost or closed, and returns the reason.
    pub async fn closed(&self) -> String {
        self.connection.closed().await.to_string()
    }

    /// Returns whether the link is lost or closed.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Closes the link; every stream on it fails.
    pub fn close(&self) {
        self.connection
            .close(VarInt::from_u32(LINK_CLOSED_CODE), b"closed");
    }

    /// Returns the smoothed round-trip time.
    pub fn round_trip(&self) -> Duration {
        self.connection.rtt()
    }

    /// Returns the number of bytes sent and received on this link so far, as UDP payload.
    pub fn bytes(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }
}

fn transport_config(idle_timeout: Duration) -> Result<TransportConfig, Error> {
    let idle_timeout =
        IdleTimeout::try_from(idle_timeout).map_err(|error| Error::Keys(error.to_string()))?;
    let mut transport_config = TransportConfig::default();
    transport_config
        .max_idle_timeout(Some(idle_timeout))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_LINK))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(transport_config)
}

/// Classifies a failed connection: a TLS failure on either side means a foreign certificate,
/// anything else a lost link.
fn classify(error: quinn::ConnectionError) -> Error {
    let text = error.to_string();
    match error {
        quinn::ConnectionError::TransportError(inner) if is_tls_alert(u64::from(inner.code)) => {
            Error::Foreign(text)
        }
        quinn::ConnectionError::ConnectionClosed(ref close)
            if is_tls_alert(u64::from(close.error_code)) =>
        {
            Error::Foreign(text)
        }
        _ => Error::Lost(text),
    }
}

/// QUIC carries TLS alerts as error codes from 0x100 to 0x1ff.
fn is_tls_alert(code: u64) -> bool {
    (0x100..0x200).contains(&code)
}
