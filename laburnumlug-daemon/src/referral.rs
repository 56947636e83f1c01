//! The role `control` on a VM without a disk: it holds no replica and refers operators to those that do.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use laburnumlug_control::OperatorInterface;
use laburnumlug_http::{Request, Response, Server, text_response};

use crate::error::Error;
use crate::listener::bind;
use crate::settings::ReferralSettings;
use crate::{logging, settings_watch, signal};

/// Answers operators until it is asked to stop.
pub(crate) async fn run(settings: ReferralSettings, path: PathBuf) -> Result<(), Error> {
    logging::start("control", &settings.process, &settings.log)?;
    let addr = settings.operators;
    let listener = bind(addr).await?;
    let server = Server::new(listener, OperatorInterface::limits());
    let shutdown = server.shutdown_handle();
    compio::runtime::spawn(settings_watch::run(path, || {
        log::info!("changed settings hold from the next start");
    }))
    .detach();
    let next = Cell::new(0);
    let others: Vec<SocketAddr> = settings
        .others
        .into_iter()
        .filter(|other| *other != addr)
        .collect();
    let handler = Rc::new(move |req: Request| {
        let turn = next.get();
        next.set(turn + 1);
        let resp = refer(&others, turn, &req);
        async move { resp }
    });
    let operators = compio::runtime::spawn(server.run(handler));
    log::info!("no data folder: operators on {addr} are referred to other control processes");
    signal::stop_requested().await;
    shutdown.shut_down();
    // A panic of the server's task has ended the process already.
    let _ = operators.await;
    Ok(())
}

fn refer(others: &[SocketAddr], turn: usize, req: &Request) -> Response {
    let Some(other) = others.get(turn % others.len().max(1)) else {
        return text_response(503, "no other control process is known");
    };
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let mut resp = text_response(307, "another control process answers");
    match format!("http://{other}{path}").parse() {
        Ok(location) => {
            resp.headers_mut().insert("location", location);
            resp
        }
        Err(_) => text_response(400, "the path cannot be referred"),
    }
}
