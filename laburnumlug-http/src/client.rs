//! HTTP/1.1 client that opens a new connection for each request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use futures_util::FutureExt;
use futures_util::future::Fuse;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::client::conn::http1;
use std::future::Future;
use std::pin::{Pin, pin};

use crate::body_reader::{Framing, next_chunk, read_whole_body};
use crate::error::Error;
use crate::fair_stream::{FairStream, HeadLimit, MAX_HEAD_BYTES};
use crate::held_bytes::HeldBytes;
use crate::socket;

/// HTTP connection on which a client sends requests.
pub(crate) type ClientConnection = http1::Connection<FairStream, Full<Bytes>>;

/// Future that performs the I/O of one connection.
type Driver = Pin<Box<dyn Future<Output = Result<(), hyper::Error>>>>;

/// Sends one request on a new connection and waits for the head of its response.
///
/// The connection is closed when the returned [`ClientResponse`] is dropped.
///
/// # Errors
///
/// If [`Error::is_connect`] returns true, the peer has seen nothing of the request.
pub async fn send(
    addr: SocketAddr,
    req: hyper::Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<ClientResponse, Error> {
    let stream = socket::connect(addr, connect_timeout).await?;
    send_over(stream, req).await
}

/// Sets up HTTP on a connection; `head_limit` bounds the heads of its responses.
pub(crate) async fn handshake(
    stream: TcpStream,
    head_limit: HeadLimit,
) -> Result<(http1::SendRequest<Full<Bytes>>, ClientConnection), Error> {
    http1::Builder::new()
        .max_buf_size(socket::READ_BUFFER_BYTES)
        .max_header_size(MAX_HEAD_BYTES)
        .handshake(FairStream::new(stream, head_limit))
        .await
        .map_err(Error::exchange)
}

/// Sends one request on a connection and waits for the head of its response.
pub(crate) async fn send_over(
    stream: TcpStream,
    mut req: hyper::Request<Full<Bytes>>,
) -> Result<ClientResponse, Error> {
    let method = req.method().clone();
    let head_limit = HeadLimit::default();
    let (mut sender, conn) = handshake(stream, head_limit.clone()).await?;
    head_limit.begin(&mut req);
    let driver: Driver = Box::pin(conn);
    let mut driver = driver.fuse();
    let mut sending = Box::pin(sender.send_request(req)).fuse();
    let head = loop {
        futures_util::select_biased! {
            head = sending => break head.map_err(Error::exchange)?,
            result = driver => result.map_err(Error::exchange)?,
        }
    };
    head_limit.end();
    drop(sending);
    let (parts, body) = head.into_parts();
    check_status(parts.status)?;
    Ok(ClientResponse {
        framing: Framing::of(&method, parts.status, &parts.headers),
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        driver,
        _sender: sender,
    })
}

/// Checks that a status is that of a final response.
///
/// RFC 9110, section 15, defines no classes beyond 5xx. [`hyper`] passes 101 on, although no request asks for an upgrade, and
/// fails for what is not a number from 100 to 999.
pub(crate) fn check_status(status: StatusCode) -> Result<(), Error> {
    match status.as_u16() {
        200..=599 => Ok(()),
        status => Err(Error::invalid_status(status)),
    }
}

/// Response whose body is still arriving.
pub struct ClientResponse {
    framing: Framing,
    status: u16,
    headers: hyper::HeaderMap,
    body: hyper::body::Incoming,
    driver: Fuse<Driver>,
    _sender: http1::SendRequest<Full<Bytes>>,
}

impl ClientResponse {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &hyper::HeaderMap {
        &self.headers
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the body.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        drive(&mut self.driver, next_chunk(&mut self.body)).await
    }

    /// Returns the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than `limit`, its connection breaks, or its transfer coding is not supported.
    pub async fn bytes(&mut self, limit: usize) -> Result<Bytes, Error> {
        let held = HeldBytes::default();
        let reading = read_whole_body(self.framing, &mut self.body, limit, &held);
        drive(&mut self.driver, reading).await
    }
}

/// Runs `work` while driving its connection.
///
/// The driver's result is ignored, as `work` itself fails if the connection breaks: [`FairStream`] ends its data with the
/// connection's error, whichever call took it.
async fn drive<F>(driver: &mut Fuse<Driver>, work: F) -> F::Output
where
    F: Future,
{
    let mut work = pin!(work.fuse());
    loop {
        futures_util::select_biased! {
            output = work => break output,
            _result = &mut *driver => {}
        }
    }
}
