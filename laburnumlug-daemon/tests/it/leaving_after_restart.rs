//! A gateway that restarts learns from the other gateways which targets are leaving.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use laburnumlug_http::{Limits, Request, Server, text_response};
use serde_json::{Value, json};

use crate::client;
use crate::harness::{block_on, free_addr, wait_for};
use crate::platform_fleet::{Cluster, Gateway, readiness_status, serve_target_list};

/// Time within which a gateway that is ready knows of the leaving targets.
const MAX_LEARNING_TIME: Duration = Duration::from_secs(1);

/// Number of requests after which each of two servers has got one, but for a chance of one in a thousand.
const REQUESTS: usize = 20;

/// Starts a server that may state that it is leaving, counts its requests, and returns its row of the list, which shows it
/// as ready.
async fn start_server(id: &str, is_leaving: bool) -> (Value, Rc<Cell<usize>>) {
    let addr = free_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    let requests = Rc::new(Cell::new(0));
    let count = requests.clone();
    let handler = Rc::new(move |req: Request| {
        let mut resp = text_response(200, "answer");
        if let Some(request_id) = req.headers().get("x-request-id") {
            count.set(count.get() + 1);
            let headers = resp.headers_mut();
            headers.insert("x-request-id", request_id.clone());
            if is_leaving {
                headers.insert("server-leaving", "1".parse().unwrap());
            }
        }
        async move { resp }
    });
    compio::runtime::spawn(Server::new(listener, Limits::default()).run(handler)).detach();
    let row = json!({ "id": id, "service": "plain", "address": addr.to_string(), "zone": "z",
        "slots": 4, "state": "ready" });
    (row, requests)
}

async fn wait_until_ready(gateway: &Gateway) {
    wait_for("a ready gateway", || async {
        (readiness_status(gateway.ready_addr).await? == 200).then_some(())
    })
    .await;
}

async fn send_requests(gateway: &Gateway) {
    for _ in 0..REQUESTS {
        let headers = [("host", "h.example"), ("x-request-id", "r")];
        let response = client::post(gateway.caller_addr, "/p/x", &headers, "").await;
        assert_eq!(response.unwrap().status, 200);
    }
}

/// Guards against a target that had stated that it is leaving and is in use again after a gateway has restarted.
#[test]
fn gateway_restart_keeps_leaving_target() {
    block_on(async {
        let (leaving_row, leaving_requests) = start_server("i-0", true).await;
        let (staying_row, _) = start_server("i-1", false).await;
        let list = json!({ "instances": [leaving_row, staying_row], "next": null });
        let list_addr = serve_target_list(list.to_string()).await;
        let cluster = Cluster::start_with_list(list_addr);
        cluster.replace_config(0, 1, 5000).await;
        let start =
            |name| Gateway::start_with_list(&cluster.folder, name, list_addr, &cluster.seeds());
        let (staying, mut restarted) = (start("g-1"), start("g-2"));
        wait_until_ready(&staying).await;
        wait_until_ready(&restarted).await;
        send_requests(&staying).await;
        assert!(leaving_requests.get() > 0);
        for _ in 0..3 {
            compio::time::sleep(MAX_LEARNING_TIME).await;
            restarted.process.kill();
            restarted.restart(&cluster.folder);
            wait_until_ready(&restarted).await;
            compio::time::sleep(MAX_LEARNING_TIME).await;
            let before = leaving_requests.get();
            send_requests(&restarted).await;
            assert_eq!(leaving_requests.get(), before);
        }
    });
}
