//! The role `control` on a VM without a disk: holds no replica, and redirects operators to a replica that can answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::Verdict;
use laburnumlug_control::{DirectoryService, DirectoryStatus, OperatorInterface, serve_directory};
use laburnumlug_http::{Request, Response, Server, json_response, text_response};
use laburnumlug_mesh::ControlContact;
use serde_json::json;

use crate::error::Error;
use crate::listener::bind;
use crate::metrics::{self, Metrics};
use crate::redirect_metrics::RedirectMetrics;
use crate::settings::{ControlRoleSettings, RedirectSettings, SettingsFile};
use crate::settings_watch::SettingsWatch;
use crate::signal::Signals;
use crate::{control, logging};

/// Timeout of the search for a replica. The platform's operator abandons a call after one second, which has to
/// suffice for the redirected call too.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a replica that is ready after which this process is not healthy.
const UNHEALTHY_AFTER: Duration = Duration::from_secs(5);

/// Runs the directory and redirects operators until the process is asked to stop.
pub(crate) async fn run(
    settings: RedirectSettings,
    file: SettingsFile<ControlRoleSettings>,
    mut signals: Signals,
) -> Result<(), Error> {
    logging::start("control", &settings.process, &settings.log)?;
    file.log_replaced();
    laburnumlug_http::set_memory_budget(settings.process.memory_budget);
    let own = ControlContact {
        mesh: settings.listen,
        operators: settings.operators,
        holds_replica: false,
    };
    let mesh_listener = bind(settings.listen).await?;
    let listener = bind(settings.operators).await?;
    let metrics = Rc::new(Metrics::new()?);
    let counters = Rc::new(RedirectMetrics::new(&metrics));
    let key = settings.mesh.key;
    let seeds = settings.mesh.control;
    let directory = DirectoryService::new(own, seeds, key.clone(), settings.may_bootstrap);
    compio::runtime::spawn(serve_directory(mesh_listener, key, directory.clone())).detach();
    compio::runtime::spawn(directory.clone().run()).detach();
    let (refreshed, gauges) = (directory.clone(), counters.clone());
    metrics::serve_with_refresh(settings.metrics, metrics, move || {
        gauges.refresh(&refreshed.status(Instant::now()));
    })
    .await?;
    let reloaded = directory.clone();
    SettingsWatch::start(file, move |settings| match settings {
        ControlRoleSettings::Redirect(settings) => {
            reloaded.set_seeds(settings.mesh.control.clone())
        }
        ControlRoleSettings::Replica(settings) => {
            reloaded.set_seeds(settings.mesh.control.clone());
            log::info!("a data folder takes effect when this process is restarted");
        }
    });
    let server = Server::new(listener, OperatorInterface::limits());
    let shutdown = server.shutdown_handle();
    let handler = Rc::new(move |req: Request| {
        let (directory, counters) = (directory.clone(), counters.clone());
        async move {
            match (req.method().as_str(), req.uri().path()) {
                ("GET", "/health") => health(&directory.status(Instant::now())),
                _ => redirect_to_replica(&directory, &counters, &req).await,
            }
        }
    });
    let server_task = compio::runtime::spawn(server.run(handler));
    log::info!(
        "no data folder: redirecting operators on {} to control replicas",
        settings.operators
    );
    signals.stop_requested().await;
    shutdown.shut_down();
    control::finish(server_task).await;
    Ok(())
}

/// Returns the health of this process: status 503 if it has found no replica that is ready for [`UNHEALTHY_AFTER`].
fn health(status: &DirectoryStatus) -> Response {
    let (code, text) = match status.time_without_replica < UNHEALTHY_AFTER {
        true => (200, "ok"),
        false => (503, "no_replica"),
    };
    json_response(
        code,
        &json!({
            "status": text,
            "holds_replica": false,
            "replicas": status.replicas,
            "membership": status.membership,
            "without_replica_ms": status.time_without_replica.as_millis() as u64,
        }),
    )
}

/// Returns a redirect to a replica that can answer now, or status 503 if there is none.
async fn redirect_to_replica(
    directory: &Rc<DirectoryService>,
    counters: &RedirectMetrics,
    req: &Request,
) -> Response {
    match directory.find_replica(SEARCH_TIMEOUT).await {
        Some(replica) => {
            counters.count_redirect();
            redirect(req, replica)
        }
        None => {
            counters.count_refusal();
            log::info!(path = req.uri().path(); "refused an operator with status 503: no control replica can answer");
            let error = json!({
                "code": "unavailable",
                "message": "no control replica can answer",
                "verdict": Verdict::NotRun,
            });
            json_response(503, &json!({ "error": error }))
        }
    }
}

/// Returns a redirect to the operators' address of `replica`.
pub(crate) fn redirect(req: &Request, replica: ControlContact) -> Response {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let location = format!("http://{}{path}", replica.operators);
    log::info!(location = location.as_str(); "redirected an operator to a control replica");
    let mut resp = text_response(307, "a control replica answers");
    match location.parse() {
        Ok(location) => {
            resp.headers_mut().insert("location", location);
            resp
        }
        Err(_) => text_response(400, "the path cannot be referred"),
    }
}
