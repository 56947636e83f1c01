//! Graceful shutdown of the server while clients are sending.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use laburnumlug_http::{
    Handler, Limits, Request, Response, Server, ShutdownHandle, channel_body, text_response,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h.example\r\n\r\n";

/// Time that the server takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Time between the head and the body of a slow answer.
const STREAM_TIME: Duration = Duration::from_millis(300);

/// Number of answers under load after which the server shuts down.
const MIN_ANSWERS: usize = 500;

/// Time within which an idle server ends.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(4);

async fn start() -> (SocketAddr, ShutdownHandle, JoinHandle<()>) {
    start_with(|_req: Request| async {
        compio::time::sleep(ANSWER_TIME).await;
        text_response(200, "answer")
    })
    .await
}

async fn start_with<H>(handler: H) -> (SocketAddr, ShutdownHandle, JoinHandle<()>)
where
    H: Handler,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Server::new(listener, Limits::default());
    let shutdown = server.shutdown_handle();
    let task = compio::runtime::spawn(server.run(Rc::new(handler)));
    (addr, shutdown, task)
}

/// Responds with a head at once and with the body after [`STREAM_TIME`].
async fn respond_slowly(_req: Request) -> Response {
    let (mut tx, body) = channel_body();
    compio::runtime::spawn(async move {
        compio::time::sleep(STREAM_TIME).await;
        let _ = tx.send("answer".into()).await;
    })
    .detach();
    let mut resp = hyper::Response::new(body);
    let length = hyper::header::HeaderValue::from_static("6");
    resp.headers_mut().insert("content-length", length);
    resp
}

/// Reads one answer and returns it; it is empty if the connection was closed or reset instead.
fn read_answer(stream: &mut TcpStream) -> String {
    let (mut answer, mut chunk) = (Vec::new(), [0; 4096]);
    while !answer.ends_with(b"answer") {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(len) => answer.extend_from_slice(&chunk[..len]),
        }
    }
    String::from_utf8(answer).unwrap()
}

/// Reads the answer in another thread, so that the server can run.
async fn read_answer_async(mut stream: TcpStream) -> String {
    let reading = compio::runtime::spawn_blocking(move || read_answer(&mut stream));
    reading.await.unwrap()
}

/// Guards against requests that are cut off without an answer since their connection is in the kernel's queue, or has been
/// accepted and not read, when the server shuts down.
#[test]
fn shut_down_before_request_is_read() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for is_accepted in [false, true] {
            for is_sent in [false, true] {
                let (addr, shutdown, task) = start().await;
                let mut stream = TcpStream::connect(addr).unwrap();
                if is_accepted {
                    compio::time::sleep(Duration::from_millis(50)).await;
                }
                if is_sent {
                    stream.write_all(REQUEST).unwrap();
                }
                shutdown.shut_down();
                if !is_sent {
                    compio::time::sleep(Duration::from_millis(100)).await;
                    stream.write_all(REQUEST).unwrap();
                }
                let answer = read_answer_async(stream).await;
                let case = format!("accepted: {is_accepted}, sent: {is_sent}: {answer:?}");
                assert!(answer.ends_with("answer"), "{case}");
                assert!(answer.contains("connection: close"), "{case}");
                task.await.unwrap();
            }
        }
    });
}

/// Guards against a cut-off request on a keep-alive connection that is idle when the server shuts down, and against a
/// server that then waits for idle connections without end.
#[test]
fn shut_down_keep_alive_connections() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (addr, shutdown, task) = start().await;
        let mut streams = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.write_all(REQUEST).unwrap();
            let clone = stream.try_clone().unwrap();
            assert!(!read_answer_async(clone).await.is_empty());
            streams.push(stream);
        }
        let started_at = Instant::now();
        shutdown.shut_down();
        compio::time::sleep(Duration::from_millis(100)).await;
        streams[0].write_all(REQUEST).unwrap();
        let answer = read_answer_async(streams.remove(0)).await;
        assert!(answer.contains("connection: close"), "{answer:?}");
        task.await.unwrap();
        assert!(started_at.elapsed() < MAX_SHUTDOWN_TIME);
    });
}

/// Guards against a request without an answer after one that was in progress when the server shut down: the head of that
/// answer had been sent, so it did not announce that the connection would be closed.
#[test]
fn shut_down_answers_request_after_answer_in_progress() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (addr, shutdown, task) = start_with(respond_slowly).await;
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(REQUEST).unwrap();
        compio::time::sleep(STREAM_TIME / 2).await;
        shutdown.shut_down();
        let answer = read_answer_async(stream.try_clone().unwrap()).await;
        assert!(answer.ends_with("answer"), "{answer:?}");
        assert!(!answer.contains("connection: close"), "{answer:?}");
        stream.write_all(REQUEST).unwrap();
        let answer = read_answer_async(stream).await;
        assert!(answer.ends_with("answer"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        task.await.unwrap();
    });
}

/// Under load, each request whose connection was established gets an answer. Clients open connections until they are
/// refused, and send on each of them until the server announces that it closes it.
#[test]
fn shut_down_under_load() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (addr, shutdown, task) = start().await;
        let answers = Arc::new(AtomicUsize::new(0));
        let clients = (0..16).map(|_| {
            let answers = answers.clone();
            std::thread::spawn(move || {
                let mut cut_off = 0;
                while let Ok(mut stream) = TcpStream::connect(addr) {
                    for _ in 0..4 {
                        let is_sent = stream.write_all(REQUEST).is_ok();
                        let answer = read_answer(&mut stream);
                        cut_off += usize::from(!is_sent || answer.is_empty());
                        answers.fetch_add(1, Ordering::Relaxed);
                        if answer.is_empty() || answer.contains("connection: close") {
                            break;
                        }
                    }
                }
                cut_off
            })
        });
        let clients: Vec<_> = clients.collect();
        while answers.load(Ordering::Relaxed) <= MIN_ANSWERS {
            compio::time::sleep(ANSWER_TIME).await;
        }
        shutdown.shut_down();
        task.await.unwrap();
        let cut_off: usize = clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .sum();
        assert_eq!(cut_off, 0);
    });
}
