//! The role `control` on a VM without a disk: holds no replica and redirects operators to other control processes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use laburnumlug_control::OperatorInterface;
use laburnumlug_http::{Request, Response, Server, text_response};

use crate::error::Error;
use crate::listener::bind;
use crate::settings::RedirectSettings;
use crate::signal::Signals;
use crate::{control, logging, settings_watch};

/// Redirects operators until the process is asked to stop.
pub(crate) async fn run(
    settings: RedirectSettings,
    path: PathBuf,
    mut signals: Signals,
) -> Result<(), Error> {
    logging::start("control", &settings.process, &settings.log)?;
    laburnumlug_http::set_memory_budget(settings.process.memory_budget);
    let addr = settings.operators;
    let listener = bind(addr).await?;
    let server = Server::new(listener, OperatorInterface::limits());
    let shutdown = server.shutdown_handle();
    compio::runtime::spawn(settings_watch::run(path, || {
        log::info!("the changed settings take effect when this process is restarted");
    }))
    .detach();
    let next_request_number = Cell::new(0);
    let others: Vec<SocketAddr> = settings
        .others
        .into_iter()
        .filter(|other| *other != addr)
        .collect();
    let handler = Rc::new(move |req: Request| {
        let request_number = next_request_number.get();
        next_request_number.set(request_number + 1);
        let resp = redirect(&others, request_number, &req);
        async move { resp }
    });
    let server_task = compio::runtime::spawn(server.run(handler));
    log::info!("no data folder: redirecting operators on {addr} to other control processes");
    signals.stop_requested().await;
    shutdown.shut_down();
    control::finish(server_task).await;
    Ok(())
}

/// Returns a redirect to one of `others`, chosen in turn by `request_number`, or status 503 if there are none.
fn redirect(others: &[SocketAddr], request_number: usize, req: &Request) -> Response {
    let Some(other) = others.get(request_number % others.len().max(1)) else {
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
