//! Callers of the gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use rand::Rng;
use rand::rngs::StdRng;

use crate::Run;

/// Longest wait for an answer; beyond it the caller hangs up.
const PATIENCE: Duration = Duration::from_secs(8);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Routes of the configuration.
const ROUTES: [&str; 3] = ["safe", "once", "stream"];

/// One request and what its caller got.
#[derive(Clone, Debug)]
pub struct Called {
    pub id: String,
    pub route: &'static str,
    pub gateway: usize,
    pub sent_at: Instant,
    /// Status of the answer; `None` without one.
    pub status: Option<u16>,
    /// The whole body; `None` where the answer broke off.
    pub body: Option<String>,
}

/// Sends requests until the run is over.
pub async fn call(run: Rc<Run>, gateways: Vec<SocketAddr>, name: String, mut rng: StdRng) {
    for number in 0.. {
        if run.ended.get() {
            return;
        }
        let gateway = rng.random_range(0..gateways.len());
        let mut called = Called {
            id: format!("{name}-{number}"),
            route: ROUTES[rng.random_range(0..ROUTES.len())],
            gateway,
            sent_at: Instant::now(),
            status: None,
            body: None,
        };
        let _ = compio::time::timeout(PATIENCE, exchange(gateways[gateway], &mut called)).await;
        run.calls.borrow_mut().push(called);
        compio::time::sleep(PAUSE).await;
    }
}

async fn exchange(addr: SocketAddr, called: &mut Called) {
    let req = hyper::Request::post(format!("/{}/x", called.route))
        .header("host", "h.example")
        .header("x-request-id", &called.id)
        .header("x-deadline-ms", 6000)
        .header("x-model", "m")
        .header("x-token-counts", "1460,80")
        .header("x-prompt-prefix", "5c1e:800,91bd:410,e440:250")
        .body(Full::new(bytes::Bytes::from_static(b"body")))
        .unwrap();
    let Ok(mut incoming) = laburnumlug_http::send(addr, req, PATIENCE).await else {
        return;
    };
    called.status = Some(incoming.status());
    let mut body = Vec::new();
    loop {
        match incoming.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return,
        }
    }
    called.body = Some(String::from_utf8_lossy(&body).into_owned());
}
