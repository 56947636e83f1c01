use std::io::{Read, Write};

use compio::net::TcpListener;

use super::*;

const UPGRADE: &str = "GET /mesh HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
    sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";

/// Opens a WebSocket connection and sends all but the last byte of a message of 15 MB, without a proof of the key.
fn send_partial_message(addr: SocketAddr) {
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.write_all(UPGRADE.as_bytes()).unwrap();
    let _ = stream.read(&mut [0; 1024]).unwrap();
    let len = MAX_MESSAGE_BYTES - 1024 * 1024;
    // A binary message with a length of 8 bytes and a mask of zeros.
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(len as u64).to_be_bytes());
    frame.extend_from_slice(&[0; 4]);
    frame.resize(frame.len() + len - 1, 0);
    // The other side may close the connection before it has read everything.
    let _ = stream.write_all(&frame);
    let _ = stream.read(&mut [0; 1024]);
}

/// Guards against peers without the key that fill the memory of a process, each with the longest message.
#[compio::test]
async fn accept_large_message_before_proof() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let sender = std::thread::spawn(move || send_partial_message(addr));
    let (stream, _) = listener.accept().await.unwrap();
    let accepted = Connection::accept(stream, &MeshKey::new("key")).await;
    let err = accepted.err().unwrap().to_string();
    assert!(err.contains("more than a handshake"), "{err}");
    sender.join().unwrap();
}

/// A message may be long once the key is proved.
#[compio::test]
async fn recv_large_message_after_proof() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let accepting = compio::runtime::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut conn = Connection::accept(stream, &MeshKey::new("key"))
            .await
            .unwrap();
        conn.recv_bytes().await.unwrap().len()
    });
    let timeout = Duration::from_secs(5);
    let mut conn = Connection::connect(addr, &MeshKey::new("key"), timeout)
        .await
        .unwrap();
    conn.send_encoded("r", &"x".repeat(1024 * 1024))
        .await
        .unwrap();
    assert!(accepting.await.unwrap() > 1024 * 1024);
}

/// A peer that answers the handshake with an invalid status is none.
#[compio::test]
async fn connect_invalid_status() {
    for status in ["000", "099", "600"] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4096]).unwrap();
            let head = format!("HTTP/1.1 {status} x\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            let _ = stream.read(&mut [0; 1]);
        });
        let timeout = Duration::from_secs(5);
        let connected = Connection::connect(addr, &MeshKey::new("key"), timeout).await;
        assert!(connected.is_err_and(|err| err.is_connect()), "{status}");
        peer.join().unwrap();
    }
}
