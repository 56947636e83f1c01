//! Answers on connections that the server closes while the client has sent more than it reads.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use laburnumlug_http::{Limits, Request, Server, ShutdownHandle, full_body};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h.example\r\n\r\n";

/// Size of an answer, which the server's socket holds whole, and the client's does not.
const ANSWER_BYTES: usize = 192 * 1024;

/// Size of the client's receive buffer.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Time after which the client begins to read, and by which the server has closed the connection otherwise.
const READ_DELAY: Duration = Duration::from_millis(300);

/// Time within which a server ends after its shutdown, although its clients keep their connections.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(4);

/// Starts a server whose answers state that the connection is closed.
async fn start() -> (SocketAddr, ShutdownHandle, compio::runtime::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Server::new(listener, Limits::default());
    let shutdown = server.shutdown_handle();
    let handler = Rc::new(|_req: Request| async {
        let mut resp = hyper::Response::new(full_body(vec![b'x'; ANSWER_BYTES]));
        let close = hyper::header::HeaderValue::from_static("close");
        resp.headers_mut().insert("connection", close);
        resp
    });
    let task = compio::runtime::spawn(server.run(handler));
    (addr, shutdown, task)
}

/// Sends a request, and then `later`, piece by piece, which the server does not read; returns the connection.
fn send(addr: SocketAddr, later: &[&[u8]]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES).unwrap();
    stream.write_all(REQUEST).unwrap();
    for piece in later {
        std::thread::sleep(Duration::from_millis(20));
        // A server that has closed the connection resets it; what the client reads afterwards tells.
        let _ = stream.write_all(piece);
    }
    stream
}

/// Reads slowly to the end of the connection, and returns the number of bytes of the answer's body.
fn read_slowly(mut stream: TcpStream) -> Result<usize, String> {
    std::thread::sleep(READ_DELAY);
    let (mut answer, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(len) => answer.extend_from_slice(&chunk[..len]),
            Err(err) => return Err(format!("{err} after {} bytes", answer.len())),
        }
    }
    let head_end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    Ok(answer.len() - head_end.ok_or("no head")? - 4)
}

/// Guards against answers that a reset drops, when the server closes a connection whose client has sent further requests: they
/// are complete, but a slow client has not read them yet.
#[test]
fn close_after_answer_with_unread_requests() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let cases: [&[&[u8]]; 3] = [&[], &[REQUEST], &[REQUEST, REQUEST, REQUEST]];
        for later in cases {
            let (addr, _shutdown, _task) = start().await;
            let reading = compio::runtime::spawn_blocking(move || read_slowly(send(addr, later)));
            let read = reading.await.unwrap();
            assert_eq!(read, Ok(ANSWER_BYTES), "{} requests later", later.len());
        }
    });
}

/// Guards against a server that does not end as its clients keep connections which it has closed.
#[test]
fn shut_down_with_clients_that_keep_connections() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (addr, shutdown, task) = start().await;
        let sending = compio::runtime::spawn_blocking(move || {
            let mut stream = send(addr, &[REQUEST, REQUEST]);
            let mut answer = vec![0; ANSWER_BYTES];
            stream.read_exact(&mut answer).unwrap();
            stream
        });
        let stream = sending.await.unwrap();
        let started_at = Instant::now();
        shutdown.shut_down();
        task.await.unwrap();
        assert!(started_at.elapsed() < MAX_SHUTDOWN_TIME);
        drop(stream);
    });
}

/// Guards against requests that are read behind an answer that closes the connection: they would get no answer.
#[test]
fn close_leaves_later_requests_unread() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (addr, _shutdown, _task) = start().await;
        let waiting = compio::runtime::spawn_blocking(move || {
            let mut stream = send(addr, &[REQUEST]);
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).unwrap();
            std::thread::sleep(Duration::from_secs(2));
            stream.take_error().unwrap()
        });
        // The kernel resets a connection that is closed with unread bytes.
        assert!(waiting.await.unwrap().is_some());
    });
}
