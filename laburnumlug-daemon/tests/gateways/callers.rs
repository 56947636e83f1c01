//! Callers of the gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use crate::Run;
use crate::caller::{read_body, request};

/// Longest wait for an answer; beyond it the caller hangs up.
const PATIENCE: Duration = Duration::from_secs(8);

/// Time that the caller states, in milliseconds.
const DEADLINE_MS: u32 = 6000;

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
    let req = request(&called.id, &format!("/{}/x", called.route), DEADLINE_MS);
    let Ok(mut incoming) = laburnumlug_http::send(addr, req, PATIENCE).await else {
        return;
    };
    called.status = Some(incoming.status());
    let (body, is_whole) = read_body(&mut incoming).await;
    called.body = is_whole.then_some(body);
}
