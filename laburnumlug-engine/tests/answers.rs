//! Answers of an engine that fail or end early.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use laburnumlug::Verdict;
use laburnumlug_engine::{CompletionRequest, EngineClient, Error};

/// Interval of the pieces of a message that never ends.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which an error with a message that never ends is returned.
const MAX_ERROR_TIME: Duration = Duration::from_secs(3);

/// Starts an engine that answers each request with `answer` and closes the connection, or keeps writing if `is_endless`.
fn start_engine(answer: String, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, answer) = (stream.unwrap(), answer.clone());
            std::thread::spawn(move || write_answer(stream, &answer, is_endless));
        }
    });
    addr
}

fn write_answer(mut stream: TcpStream, answer: &str, is_endless: bool) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request);
    let mut is_open = stream.write_all(answer.as_bytes()).is_ok();
    while is_open && is_endless {
        std::thread::sleep(DRIP_INTERVAL);
        is_open = stream.write_all(b"x").is_ok();
    }
}

/// Reads a completion to its end, or to its error.
async fn complete(addr: SocketAddr) -> Result<usize, Error> {
    let req = CompletionRequest::new("m", "p", 4).request_id("r");
    let mut stream = EngineClient::new(addr).complete(&req).await?;
    let mut events = 0;
    while stream.next().await?.is_some() {
        events += 1;
    }
    Ok(events)
}

fn block_on<F>(test: F) -> F::Output
where
    F: Future,
{
    compio::runtime::Runtime::new().unwrap().block_on(test)
}

/// Guards against an error without a reason in the log, as its message is longer than 16 KiB, and against a wrong verdict:
/// the engine may have run a request that failed.
#[test]
fn complete_long_error_message() {
    block_on(async {
        let message = format!("out of memory {}", "x".repeat(20 * 1024));
        let length = message.len();
        let head = format!("HTTP/1.1 500 x\r\ncontent-length: {length}\r\n\r\n");
        let err = complete(start_engine(format!("{head}{message}"), false)).await;
        let err = err.unwrap_err();
        assert!(err.to_string().contains("out of memory"), "{err}");
        assert!(err.to_string().len() < 17 * 1024);
        assert_eq!(err.verdict(), Verdict::MayHaveRun);
    });
}

/// Guards against a request that is held by an error message without end.
#[test]
fn complete_endless_error_message() {
    block_on(async {
        let answer = "HTTP/1.1 503 x\r\ncontent-length: 9999\r\n\r\nno capacity";
        let started_at = Instant::now();
        let err = complete(start_engine(answer.to_string(), true)).await;
        let err = err.unwrap_err();
        assert!(err.to_string().contains("no capacity"), "{err}");
        assert_eq!(err.verdict(), Verdict::NotRun);
        assert!(started_at.elapsed() < MAX_ERROR_TIME);
    });
}

/// Guards against a completion that was broken off and looks whole: only the end marker proves that it is.
#[test]
fn complete_broken_off() {
    block_on(async {
        let choice = |text: &str| {
            format!("data: {{\"id\":\"r\",\"choices\":[{{\"text\":\"{text}\",\"tokens\":1}}]}}\n\n")
        };
        let events = format!("{}{}", choice("a"), choice("b"));
        let whole = format!("{events}data: [DONE]\n\n");
        let unframed = "HTTP/1.1 200 x\r\n\r\n";
        let addr = start_engine(format!("{unframed}{whole}"), false);
        assert_eq!(complete(addr).await.unwrap(), 2);
        let broken = [
            format!("{unframed}{events}"),
            format!("{unframed}{events}data: [DO"),
            format!("HTTP/1.1 200 x\r\ncontent-length: 9999\r\n\r\n{events}"),
            format!(
                "HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n{events}",
                events.len()
            ),
            format!(
                "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
                events.len()
            ),
        ];
        for answer in broken {
            let err = complete(start_engine(answer.clone(), false)).await;
            assert_eq!(err.unwrap_err().verdict(), Verdict::MayHaveRun, "{answer}");
        }
    });
}
