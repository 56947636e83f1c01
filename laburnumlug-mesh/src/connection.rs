//! One connection between two of the system's processes.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{SinkExt, StreamExt};
use laburnumlug::{Incarnation, RequestId};
use rustix::net::sockopt::{set_socket_send_buffer_size, set_tcp_user_timeout};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message as Frame};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::error::Error;
use crate::handshake::{Handshake, MeshKey, SessionId, Side, new_nonce, session_id};
use crate::message::Message;
use crate::traffic;

/// Version of the message format; both ends must agree on it.
pub const PROTOCOL_VERSION: u16 = 2;

/// Largest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Largest amount of unsent bytes that a connection holds.
const MAX_WRITE_BUFFER_BYTES: usize = MAX_MESSAGE_BYTES + 1024 * 1024;

/// Unsent bytes that the kernel holds for one connection.
const SEND_BUFFER_BYTES: usize = 256 * 1024;

/// Time in milliseconds after which unacknowledged bytes break a connection; a partitioned peer answers nothing.
const USER_TIMEOUT_MS: u32 = 3_000;

/// How long the peer may take for its part of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

type Stream = WebSocketStream<Compat<Pin<Box<AsyncStream<TcpStream>>>>>;

/// What each frame holds.
#[derive(Deserialize, Serialize)]
struct Envelope<T> {
    version: u16,
    request_id: RequestId,
    message: T,
}

/// A connection between two of the system's processes.
pub struct Connection {
    stream: Stream,
    session: SessionId,
    /// Life of the peer's process, on the connecting side.
    peer_incarnation: Option<Incarnation>,
}

impl Connection {
    /// Connects to `addr` and proves the key to the peer.
    ///
    /// # Errors
    ///
    /// [`Error::is_connect`] holds for every failure here: the peer has seen no message.
    pub async fn connect(
        addr: SocketAddr,
        key: &MeshKey,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        let connecting = Connection::connect_unbounded(addr, key);
        match compio::time::timeout(timeout, connecting).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(err)) if err.is_connect() => Err(err),
            Ok(Err(err)) => Err(Error::connect(std::io::Error::other(err))),
            Err(_) => Err(Error::connect(std::io::ErrorKind::TimedOut.into())),
        }
    }

    async fn connect_unbounded(addr: SocketAddr, key: &MeshKey) -> Result<Connection, Error> {
        let stream = TcpStream::connect(addr).await.map_err(Error::connect)?;
        set_options(&stream);
        let (stream, _) = tokio_tungstenite::client_async_with_config(
            format!("ws://{addr}/mesh"),
            wrap(stream),
            Some(web_socket_config()),
        )
        .await
        .map_err(Error::web_socket)?;
        let mut conn = Connection::new(stream);
        conn.prove_as_client(key).await?;
        Ok(conn)
    }

    fn new(stream: Stream) -> Connection {
        Connection {
            stream,
            session: SessionId::new(),
            peer_incarnation: None,
        }
    }

    /// Returns the id of this connection, which both ends know.
    pub fn session(&self) -> &str {
        &self.session
    }

    /// Returns which life of the peer's process accepted this connection, where the peer said so.
    pub fn peer_incarnation(&self) -> Option<Incarnation> {
        self.peer_incarnation
    }

    /// Accepts a connection and lets the peer prove the key.
    ///
    /// # Errors
    ///
    /// Fails when the peer is not one of the system's processes or is silent for too long.
    pub async fn accept(stream: TcpStream, key: &MeshKey) -> Result<Connection, Error> {
        Connection::accept_as(stream, key, None).await
    }

    /// Accepts a connection as [`Connection::accept`] does and states this process's incarnation.
    ///
    /// # Errors
    ///
    /// Fails when the peer is not one of the system's processes or is silent for too long.
    pub async fn accept_as(
        stream: TcpStream,
        key: &MeshKey,
        incarnation: Option<Incarnation>,
    ) -> Result<Connection, Error> {
        let accepting = async {
            set_options(&stream);
            let stream = tokio_tungstenite::accept_async_with_config(
                wrap(stream),
                Some(web_socket_config()),
            )
            .await
            .map_err(Error::web_socket)?;
            let mut conn = Connection::new(stream);
            conn.prove_as_server(key, incarnation).await?;
            Ok(conn)
        };
        match compio::time::timeout(HANDSHAKE_TIMEOUT, accepting).await {
            Ok(result) => result,
            Err(_) => Err(Error::timed_out()),
        }
    }

    async fn prove_as_client(&mut self, key: &MeshKey) -> Result<(), Error> {
        let Handshake::Challenge(server_nonce) = self.recv_as::<Handshake>().await?.1 else {
            return Err(Error::handshake());
        };
        let nonce = new_nonce();
        let proof = key.prove(Side::Client, &server_nonce, &nonce);
        self.send_as(
            "",
            &Handshake::Answer {
                nonce: nonce.clone(),
                proof,
            },
        )
        .await?;
        match self.recv_as::<Handshake>().await {
            Ok((_, Handshake::Welcome { proof, incarnation }))
                if key.check(Side::Server, &server_nonce, &nonce, &proof) =>
            {
                self.session = session_id(&server_nonce, &nonce);
                self.peer_incarnation = incarnation;
                Ok(())
            }
            _ => Err(Error::handshake()),
        }
    }

    async fn prove_as_server(
        &mut self,
        key: &MeshKey,
        incarnation: Option<Incarnation>,
    ) -> Result<(), Error> {
        let server_nonce = new_nonce();
        self.send_as("", &Handshake::Challenge(server_nonce.clone()))
            .await?;
        match self.recv_as::<Handshake>().await?.1 {
            Handshake::Answer { nonce, proof }
                if key.check(Side::Client, &server_nonce, &nonce, &proof) =>
            {
                let proof = key.prove(Side::Server, &server_nonce, &nonce);
                self.session = session_id(&server_nonce, &nonce);
                self.send_as("", &Handshake::Welcome { proof, incarnation })
                    .await
            }
            _ => Err(Error::handshake()),
        }
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken; the peer may have received the message all the same.
    pub async fn send(&mut self, request_id: &str, message: &Message) -> Result<(), Error> {
        self.send_as(request_id, message).await
    }

    /// Receives the next message and the id of its request.
    ///
    /// Dropping the returned future loses no message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken or the message is not understood.
    pub async fn recv(&mut self) -> Result<(RequestId, Message), Error> {
        self.recv_as().await
    }

    async fn send_as<T>(&mut self, request_id: &str, message: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        let request_id = request_id.to_string();
        let envelope = Envelope {
            version: PROTOCOL_VERSION,
            request_id,
            message,
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&envelope, &mut buf).map_err(Error::codec)?;
        traffic::count_sent(buf.len());
        self.stream
            .send(Frame::Binary(buf.into()))
            .await
            .map_err(Error::web_socket)
    }

    async fn recv_as<T>(&mut self) -> Result<(RequestId, T), Error>
    where
        T: DeserializeOwned,
    {
        loop {
            match self.stream.next().await {
                None => return Err(Error::closed()),
                Some(Err(
                    tungstenite::Error::ConnectionClosed
                    | tungstenite::Error::AlreadyClosed
                    | tungstenite::Error::Protocol(
                        tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
                    ),
                )) => return Err(Error::closed()),
                Some(Err(err)) => return Err(Error::web_socket(err)),
                Some(Ok(Frame::Binary(bytes))) => return decode(&bytes),
                Some(Ok(Frame::Close(_))) => return Err(Error::closed()),
                Some(Ok(_)) => {}
            }
        }
    }
}

fn decode<T>(bytes: &[u8]) -> Result<(RequestId, T), Error>
where
    T: DeserializeOwned,
{
    let envelope: Envelope<T> = ciborium::from_reader(bytes).map_err(Error::codec)?;
    if envelope.version != PROTOCOL_VERSION {
        return Err(Error::version(envelope.version));
    }
    Ok((envelope.request_id, envelope.message))
}

/// Sends small messages at once, and lets the kernel hold few of them for a peer that does not read.
fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    if let Err(err) = set_tcp_user_timeout(stream, USER_TIMEOUT_MS) {
        log::debug!("TCP_USER_TIMEOUT was not set: {err}");
    }
    let _ = set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES);
}

fn wrap(stream: TcpStream) -> Compat<Pin<Box<AsyncStream<TcpStream>>>> {
    Box::pin(AsyncStream::new(stream)).compat()
}

fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .max_write_buffer_size(MAX_WRITE_BUFFER_BYTES)
        .write_buffer_size(0)
        .read_buffer_size(4 * 1024)
}
