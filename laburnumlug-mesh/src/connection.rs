//! WebSocket connection between two processes of this system, carrying CBOR messages.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::future::{Either, select};
use futures_util::{SinkExt, StreamExt};
use laburnumlug::{Incarnation, RequestId};
use rustix::net::sockopt::{set_socket_send_buffer_size, set_tcp_user_timeout};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message as Frame};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::counted_stream::{CountedStream, ReceivedBytes};
use crate::error::Error;
use crate::handshake::{Handshake, MeshKey, SessionId, Side, derive_session_id, new_nonce};
use crate::handshake_limit::HandshakePermit;
use crate::message::Message;
use crate::traffic;
use crate::unknown_events::remove_unknown_events;

/// Version of the message format; both peers must use the same one.
pub const PROTOCOL_VERSION: u16 = 2;

/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of bytes that a peer may send before it has proved the key; the messages of a handshake are short.
const MAX_HANDSHAKE_BYTES: u64 = 64 * 1024;

/// Maximum number of unsent bytes that a connection buffers.
const MAX_WRITE_BUFFER_BYTES: usize = MAX_MESSAGE_BYTES + 1024 * 1024;

/// Size of the kernel's send buffer of one connection.
const SOCKET_SEND_BUFFER_BYTES: usize = 256 * 1024;

/// Time after which unacknowledged data closes a connection, since a partitioned peer sends no reply.
const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// Timeout for the whole handshake on an accepted connection.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

type ByteStream = Compat<CountedStream<Pin<Box<AsyncStream<TcpStream>>>>>;

type Stream = WebSocketStream<ByteStream>;

/// Content of each WebSocket frame.
#[derive(Deserialize, Serialize)]
struct Envelope<T> {
    version: u16,
    request_id: RequestId,
    message: T,
}

/// Authenticated connection between two processes of this system.
pub struct Connection {
    stream: Stream,
    received_bytes: Rc<ReceivedBytes>,
    session_id: SessionId,
    /// Incarnation of the peer's process; known only to the connecting side.
    peer_incarnation: Option<Incarnation>,
}

impl Connection {
    /// Connects to `addr` and performs the handshake.
    ///
    /// # Errors
    ///
    /// [`Error::is_connect`] is true for every failure here: the peer has received no message.
    pub async fn connect(
        addr: SocketAddr,
        key: &MeshKey,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        let connecting = async {
            let stream = TcpStream::connect(addr).await.map_err(Error::connect)?;
            Connection::handshake(stream, addr, key).await
        };
        match compio::time::timeout(timeout, connecting).await {
            Ok(result) => result,
            Err(_) => Err(Error::connect(std::io::ErrorKind::TimedOut.into())),
        }
    }

    /// Performs the handshake on a TCP connection to `addr`.
    ///
    /// As for [`Connection::connect`], [`Error::is_connect`] is true for every failure.
    pub(crate) async fn handshake(
        stream: TcpStream,
        addr: SocketAddr,
        key: &MeshKey,
    ) -> Result<Connection, Error> {
        let handshake = Connection::handshake_as_client(stream, addr, key).await;
        handshake.map_err(|err| match err.is_connect() {
            true => err,
            false => Error::connect(std::io::Error::other(err)),
        })
    }

    async fn handshake_as_client(
        stream: TcpStream,
        addr: SocketAddr,
        key: &MeshKey,
    ) -> Result<Connection, Error> {
        set_socket_options(&stream);
        let received_bytes = Rc::new(ReceivedBytes::with_limit(MAX_HANDSHAKE_BYTES));
        let (stream, _) = tokio_tungstenite::client_async_with_config(
            format!("ws://{addr}/mesh"),
            into_compat(stream, &received_bytes),
            Some(web_socket_config()),
        )
        .await
        .map_err(Error::web_socket)?;
        let mut conn = Connection::new(stream, received_bytes);
        conn.authenticate_as_client(key).await?;
        conn.received_bytes.remove_limit();
        Ok(conn)
    }

    fn new(stream: Stream, received_bytes: Rc<ReceivedBytes>) -> Connection {
        Connection {
            stream,
            received_bytes,
            session_id: SessionId::new(),
            peer_incarnation: None,
        }
    }

    /// Returns the id of this connection, which both peers know.
    pub fn session_id(&self) -> &str {
        &self.session_id
    }

    /// Returns the incarnation of the process that accepted this connection, if the peer stated it.
    pub fn peer_incarnation(&self) -> Option<Incarnation> {
        self.peer_incarnation
    }

    /// Accepts a connection and performs the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not prove the key, or if the handshake times out.
    pub async fn accept(stream: TcpStream, key: &MeshKey) -> Result<Connection, Error> {
        Connection::accept_with_incarnation(stream, key, None).await
    }

    /// Accepts a connection like [`Connection::accept`] and sends the incarnation of this process.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not prove the key, or if the handshake times out.
    pub async fn accept_with_incarnation(
        stream: TcpStream,
        key: &MeshKey,
        incarnation: Option<Incarnation>,
    ) -> Result<Connection, Error> {
        let accepting = async {
            set_socket_options(&stream);
            let received_bytes = Rc::new(ReceivedBytes::with_limit(MAX_HANDSHAKE_BYTES));
            let stream = tokio_tungstenite::accept_async_with_config(
                into_compat(stream, &received_bytes),
                Some(web_socket_config()),
            )
            .await
            .map_err(Error::web_socket)?;
            let mut conn = Connection::new(stream, received_bytes);
            conn.authenticate_as_server(key, incarnation).await?;
            conn.received_bytes.remove_limit();
            Ok(conn)
        };
        let mut permit = HandshakePermit::begin();
        let accepting = pin!(compio::time::timeout(HANDSHAKE_TIMEOUT, accepting));
        match select(accepting, pin!(permit.ended())).await {
            Either::Left((Ok(result), _)) => result,
            Either::Left((Err(_), _)) | Either::Right(_) => Err(Error::handshake_timed_out()),
        }
    }

    async fn authenticate_as_client(&mut self, key: &MeshKey) -> Result<(), Error> {
        let Handshake::Challenge(server_nonce) = self.recv_decoded::<Handshake>().await?.1 else {
            return Err(Error::handshake());
        };
        let nonce = new_nonce();
        let proof = key.prove(Side::Client, &server_nonce, &nonce);
        self.send_encoded(
            "",
            &Handshake::Answer {
                nonce: nonce.clone(),
                proof,
            },
        )
        .await?;
        match self.recv_decoded::<Handshake>().await {
            Ok((_, Handshake::Welcome { proof, incarnation }))
                if key.verify(Side::Server, &server_nonce, &nonce, &proof) =>
            {
                self.session_id = derive_session_id(&server_nonce, &nonce);
                self.peer_incarnation = incarnation;
                Ok(())
            }
            _ => Err(Error::handshake()),
        }
    }

    async fn authenticate_as_server(
        &mut self,
        key: &MeshKey,
        incarnation: Option<Incarnation>,
    ) -> Result<(), Error> {
        let server_nonce = new_nonce();
        self.send_encoded("", &Handshake::Challenge(server_nonce.clone()))
            .await?;
        match self.recv_decoded::<Handshake>().await?.1 {
            Handshake::Answer { nonce, proof }
                if key.verify(Side::Client, &server_nonce, &nonce, &proof) =>
            {
                let proof = key.prove(Side::Server, &server_nonce, &nonce);
                self.session_id = derive_session_id(&server_nonce, &nonce);
                self.send_encoded("", &Handshake::Welcome { proof, incarnation })
                    .await
            }
            _ => Err(Error::handshake()),
        }
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken; the peer may still have received the message.
    pub async fn send(&mut self, request_id: &str, message: &Message) -> Result<(), Error> {
        self.send_encoded(request_id, message).await
    }

    /// Receives the next message and the id of its request.
    ///
    /// Cancel safe: dropping the returned future loses no message.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken or the message cannot be decoded.
    pub async fn recv(&mut self) -> Result<(RequestId, Message), Error> {
        let bytes = self.recv_bytes().await?;
        decode_message(&bytes)
    }

    /// Receives the next message like [`Connection::recv`], unless no byte of it arrives for `idle_timeout`.
    ///
    /// Such a pause is noticed after at most twice that time.
    ///
    /// # Errors
    ///
    /// Fails like [`Connection::recv`], or if the peer sends nothing. The connection cannot be used afterwards.
    pub async fn recv_unless_idle(
        &mut self,
        idle_timeout: Duration,
    ) -> Result<(RequestId, Message), Error> {
        let received_bytes = self.received_bytes.clone();
        let mut receiving = pin!(self.recv());
        loop {
            let received_before = received_bytes.count();
            match compio::time::timeout(idle_timeout, receiving.as_mut()).await {
                Ok(result) => return result,
                Err(_) if received_bytes.count() == received_before => return Err(Error::idle()),
                Err(_) => {}
            }
        }
    }

    async fn send_encoded<T>(&mut self, request_id: &str, message: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        let buf = encode(request_id, message)?;
        traffic::count_sent_message(buf.len());
        self.stream
            .send(Frame::Binary(buf.into()))
            .await
            .map_err(Error::web_socket)
    }

    async fn recv_decoded<T>(&mut self) -> Result<(RequestId, T), Error>
    where
        T: DeserializeOwned,
    {
        let bytes = self.recv_bytes().await?;
        decode_envelope(&bytes)
    }

    async fn recv_bytes(&mut self) -> Result<tungstenite::Bytes, Error> {
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
                Some(Ok(Frame::Binary(bytes))) => return Ok(bytes),
                Some(Ok(Frame::Close(_))) => return Err(Error::closed()),
                Some(Ok(_)) => {}
            }
        }
    }
}

/// Encodes a message with its request id.
pub(crate) fn encode<T>(request_id: &str, message: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let envelope = Envelope {
        version: PROTOCOL_VERSION,
        request_id: request_id.to_string(),
        message,
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&envelope, &mut buf).map_err(Error::codec)?;
    Ok(buf)
}

/// Decodes a message without the engine events of unknown kinds that it may contain.
///
/// Only a message that cannot be decoded otherwise is searched for such events, as that takes several times as long.
pub(crate) fn decode_message(bytes: &[u8]) -> Result<(RequestId, Message), Error> {
    let err = match decode_envelope(bytes) {
        Ok(decoded) => return Ok(decoded),
        Err(err) => err,
    };
    let Ok((request_id, mut message)) = decode_envelope::<ciborium::Value>(bytes) else {
        return Err(err);
    };
    let ignored = remove_unknown_events(&mut message);
    let message = message.deserialized().map_err(Error::codec)?;
    log::debug!("ignored {ignored} events of unknown kinds from a later version");
    Ok((request_id, message))
}

fn decode_envelope<T>(bytes: &[u8]) -> Result<(RequestId, T), Error>
where
    T: DeserializeOwned,
{
    let envelope: Envelope<T> = ciborium::from_reader(bytes).map_err(Error::codec)?;
    if envelope.version != PROTOCOL_VERSION {
        return Err(Error::version(envelope.version));
    }
    Ok((envelope.request_id, envelope.message))
}

/// Disables Nagle's algorithm, sets the user timeout, and limits the data buffered for a peer that does not read.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    if let Err(err) = set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS) {
        log::debug!("failed to set TCP_USER_TIMEOUT on a mesh connection: {err}");
    }
    let _ = set_socket_send_buffer_size(stream, SOCKET_SEND_BUFFER_BYTES);
}

fn into_compat(stream: TcpStream, received_bytes: &Rc<ReceivedBytes>) -> ByteStream {
    let stream = Box::pin(AsyncStream::new(stream));
    CountedStream::new(stream, received_bytes.clone()).compat()
}

fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .max_write_buffer_size(MAX_WRITE_BUFFER_BYTES)
        .write_buffer_size(0)
        .read_buffer_size(4 * 1024)
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
