//! Answers of servers that reset the connection, or end it in order, while the request is still being written.
//!
//! The part of the answer and the end of its connection reach the client at the same moment, as the thread that drives the
//! connection does not run in between. The write of the request is then the first call that gets the error of the socket.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join;
use http_body_util::Full;
use laburnumlug::BootTime;
use laburnumlug_http::{ConnectionPool, Error, SendError, send, send_before};
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Length of a request's body, beyond what the buffers of both kernels hold.
const REQUEST_BYTES: usize = 8 << 20;

const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Time within which the client has filled the buffers of both kernels.
const FILL_TIME: Duration = Duration::from_millis(200);

/// Time within which the client has read an answer.
const READ_TIME: Duration = Duration::from_millis(50);

/// Time after which the client's kernel has given up a connection whose peer takes nothing, beyond `TCP_USER_TIMEOUT`.
const GIVE_UP_TIME: Duration = Duration::from_secs(5);

const LIMIT: usize = 100_000;

const BODY: &str = "id: 1\ndata: a\n\n";

/// How a server ends the connection after it has written its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// Resets it.
    Reset,
    /// Resets it once the client has read the answer.
    ResetLater,
    /// Keeps it open and reads nothing, until the client's kernel has given it up.
    Stall,
    /// Ends its sending side, and reads the rest of the request.
    HalfClose,
    /// Ends its sending side, and reads nothing until the client's kernel has given the connection up.
    HalfCloseAndStall,
    /// Ends its sending side, and then resets the connection.
    HalfCloseAndReset,
}

/// Fields of the head which state where the body ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    /// The body ends with its connection.
    None,
    /// More bytes than are sent.
    Length,
    /// No last chunk.
    Chunks,
    /// As many bytes as are sent.
    WholeLength,
}

impl Framing {
    fn answer(self) -> String {
        let (field, body) = match self {
            Framing::None => ("", BODY.to_string()),
            Framing::Length => ("content-length: 1000\r\n", BODY.to_string()),
            Framing::WholeLength => ("content-length: 15\r\n", BODY.to_string()),
            Framing::Chunks => (
                "transfer-encoding: chunked\r\n",
                format!("{:x}\r\n{BODY}\r\n", BODY.len()),
            ),
        };
        format!("HTTP/1.1 200 OK\r\n{field}\r\n{body}")
    }
}

/// A server that answers one request, of which it has read the head, once it is told to.
struct Answering {
    addr: SocketAddr,
    has_head: Receiver<()>,
    may_answer: Sender<()>,
    has_ended: Receiver<()>,
}

impl Answering {
    fn start(framing: Framing, end: End) -> Answering {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES).unwrap();
        let addr = listener.local_addr().unwrap();
        let (head_tx, has_head) = mpsc::channel();
        let (may_answer, answer_rx) = mpsc::channel();
        let (ended_tx, has_ended) = mpsc::channel();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 1024]).unwrap();
            head_tx.send(()).unwrap();
            answer_rx.recv().unwrap();
            stream.write_all(framing.answer().as_bytes()).unwrap();
            end_connection(stream, end, &ended_tx);
        });
        Answering {
            addr,
            has_head,
            may_answer,
            has_ended,
        }
    }

    /// Lets the server answer and end the connection while nothing else runs on this thread.
    async fn answer_at_once(self) {
        while self.has_head.try_recv().is_err() {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        compio::time::sleep(FILL_TIME).await;
        self.may_answer.send(()).unwrap();
        self.has_ended.recv_timeout(TIMEOUT).unwrap();
    }
}

/// Ends the connection, and sends a message once the client may run again.
fn end_connection(mut stream: TcpStream, end: End, ended_tx: &Sender<()>) {
    let reset = |stream: TcpStream| {
        set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        drop(stream);
    };
    match end {
        End::Reset => reset(stream),
        End::ResetLater => {
            ended_tx.send(()).unwrap();
            std::thread::sleep(READ_TIME);
            return reset(stream);
        }
        End::HalfCloseAndReset => {
            stream.shutdown(Shutdown::Write).unwrap();
            reset(stream);
        }
        End::HalfClose => {
            stream.shutdown(Shutdown::Write).unwrap();
            ended_tx.send(()).unwrap();
            let mut chunk = [0; 64 * 1024];
            while stream.read(&mut chunk).is_ok_and(|len| len > 0) {}
            return;
        }
        End::HalfCloseAndStall => {
            stream.shutdown(Shutdown::Write).unwrap();
            std::thread::sleep(GIVE_UP_TIME);
        }
        End::Stall => std::thread::sleep(GIVE_UP_TIME),
    }
    ended_tx.send(()).unwrap();
}

/// The ways in which this package sends a request.
#[derive(Clone, Copy, Debug)]
enum Client {
    Pool,
    NewConnection,
    Revocable,
}

const CLIENTS: [Client; 3] = [Client::Pool, Client::NewConnection, Client::Revocable];

impl Client {
    /// Sends a request with a long body, and returns the body of the answer.
    async fn send(self, addr: SocketAddr) -> Result<Bytes, Error> {
        let req = hyper::Request::post("/x")
            .header("host", "h.example")
            .body(Full::new(Bytes::from(vec![b'x'; REQUEST_BYTES])))
            .unwrap();
        match self {
            Client::Pool => {
                let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
                let sent = pool.send(Instant::now(), addr, "r-1", req).await;
                match sent {
                    Ok(mut response) => response.bytes(LIMIT).await,
                    Err(SendError::Sent(err)) => Err(err),
                    Err(err) => panic!("{err:?}"),
                }
            }
            Client::NewConnection => send(addr, req, TIMEOUT).await?.bytes(LIMIT).await,
            Client::Revocable => {
                let expires_at = BootTime::now().since_boot() + TIMEOUT;
                let (_, body) = send_before(addr, req, expires_at, LIMIT).await?;
                Ok(body)
            }
        }
    }
}

/// Returns what a client gets from a server that answers and ends the connection at the same moment.
fn exchange(client: Client, framing: Framing, end: End) -> Result<Bytes, Error> {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let server = Answering::start(framing, end);
        let addr = server.addr;
        join(client.send(addr), server.answer_at_once()).await.0
    })
}

/// Guards against the part of an answer that looks whole, as the write of the request took the error of the connection and left
/// the read with the end of the data.
#[test]
fn reset_while_sending_breaks_off() {
    let mut whole = Vec::new();
    for client in CLIENTS {
        for framing in [Framing::None, Framing::Length, Framing::Chunks] {
            if exchange(client, framing, End::Reset).is_ok() {
                whole.push((client, framing));
            }
        }
    }
    assert!(whole.is_empty(), "whole: {whole:?}");
}

/// The read that waits for more of the answer gets the error.
#[test]
fn reset_after_part_was_read_breaks_off() {
    for client in CLIENTS {
        let body = exchange(client, Framing::None, End::ResetLater);
        assert!(body.is_err(), "{client:?}");
    }
}

/// The connection ends without a segment of the peer, as it does when the network is cut.
#[test]
fn connection_given_up_while_sending_breaks_off() {
    // `send_before` overrides `TCP_USER_TIMEOUT`.
    let exchanges = [Client::Pool, Client::NewConnection].map(|client| {
        std::thread::spawn(move || exchange(client, Framing::None, End::Stall).is_err())
    });
    let is_broken_off = exchanges.map(|exchange| exchange.join().unwrap());
    assert_eq!(is_broken_off, [true; 2]);
}

/// An answer that is given before the request has been read, and ended in order, is whole.
#[test]
fn half_close_while_sending_is_whole() {
    for client in CLIENTS {
        let body = exchange(client, Framing::None, End::HalfClose);
        assert_eq!(body.unwrap(), BODY, "{client:?}");
    }
}

/// A reset that follows the end of the answer does not break it off.
#[test]
fn half_close_and_reset_while_sending_is_whole() {
    for client in CLIENTS {
        let body = exchange(client, Framing::None, End::HalfCloseAndReset);
        assert_eq!(body.unwrap(), BODY, "{client:?}");
    }
}

/// A reset that follows an answer with a length does not break it off.
#[test]
fn reset_after_whole_length_is_whole() {
    for client in CLIENTS {
        let body = exchange(client, Framing::WholeLength, End::Reset);
        assert_eq!(body.unwrap(), BODY, "{client:?}");
    }
}

/// The answer has ended before the client's kernel gives the connection up, but the client's thread has not run since.
#[test]
fn half_close_given_up_while_sending_is_whole() {
    // `send_before` overrides `TCP_USER_TIMEOUT`.
    for client in [Client::Pool, Client::NewConnection] {
        let body = exchange(client, Framing::None, End::HalfCloseAndStall);
        assert_eq!(body.unwrap(), BODY, "{client:?}");
    }
}
