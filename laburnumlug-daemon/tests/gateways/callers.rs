//! Simulated callers that send random requests to the gateways until the faults end, and record the responses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use crate::Run;
use crate::caller::{read_body, request};

/// Time after which the caller stops waiting for a response and closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u32 = 6000;

/// Delay between two requests of one caller.
const REQUEST_DELAY: Duration = Duration::from_millis(15);

/// Names of the routes in `soak-config.json`, each of which is also the first segment of its path prefix.
const ROUTES: [&str; 3] = ["safe", "once", "stream"];

/// Request and the response that its caller got.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub route: &'static str,
    /// Index of the gateway to which the request was sent.
    pub gateway: usize,
    pub sent_at: Instant,
    /// Status of the response; `None` if there was none.
    pub status: Option<u16>,
    /// Complete body; `None` if there was no response or it was cut off.
    pub body: Option<String>,
}

/// Sends requests to random gateways and routes, one after another, until the faults have ended.
pub async fn run_caller(run: Rc<Run>, gateways: Vec<SocketAddr>, name: String, mut rng: StdRng) {
    for number in 0.. {
        if run.faults_ended.get() {
            return;
        }
        let gateway = rng.random_range(0..gateways.len());
        let mut record = CallRecord {
            id: format!("{name}-{number}"),
            route: ROUTES[rng.random_range(0..ROUTES.len())],
            gateway,
            sent_at: Instant::now(),
            status: None,
            body: None,
        };
        let _ = compio::time::timeout(
            RESPONSE_TIMEOUT,
            send_request(gateways[gateway], &mut record),
        )
        .await;
        run.calls.borrow_mut().push(record);
        compio::time::sleep(REQUEST_DELAY).await;
    }
}

async fn send_request(addr: SocketAddr, record: &mut CallRecord) {
    let req = request(&record.id, &format!("/{}/x", record.route), DEADLINE_MS);
    let Ok(mut incoming) = laburnumlug_http::send(addr, req, RESPONSE_TIMEOUT).await else {
        return;
    };
    record.status = Some(incoming.status());
    let (body, is_complete) = read_body(&mut incoming).await;
    record.body = is_complete.then_some(body);
}
