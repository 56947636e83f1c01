//! The first start, in which one of the machines that serve control fails with its disk before all of them have started.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::deployment::{CONTROLS, Deployment, Record};
use crate::http;
use crate::servers::{Behaviour, Server};

/// Machines start within this time of each other.
const START_TIME: Duration = Duration::from_millis(300);
/// When the first machine fails: before the last one has started.
const FAILS_AFTER: Duration = Duration::from_millis(200);
/// Time after which the machine is back.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// `stableWindowMs` and `ackMs`: a configuration is acknowledged within the second once the first has passed without an event.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const ACK_TIME: Duration = Duration::from_millis(4000);
/// Length of the run.
const LENGTH: Duration = Duration::from_secs(60);
/// Time for which a configuration is read back, more than `stableWindowMs`.
const READ_TIME: Duration = Duration::from_secs(6);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"safe","timeoutMs":2000,"targetLatencyMs":100,"priority":1,"service":"app","maxAttempts":2,"sticky":false,"resumable":false}],"services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Returns whether the rule held.
pub fn run(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new(folder, record.clone())?;
    let behaviour: Behaviour = Arc::new(|stream, request| {
        let id = request.header("x-request-id").unwrap_or("").to_string();
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Seal", "seal")];
        http::write_answer(stream, 200, &headers, "answer")?;
        Ok(true)
    });
    let server = Server::start("i-1", behaviour)?;
    deployment
        .instances
        .lock()
        .unwrap()
        .push(server.row("app", "ready"));

    let began_at = Instant::now();
    deployment.start_control(0, true)?;
    sleep(START_TIME / 3);
    deployment.start_control(1, true)?;
    deployment.start_gateway(1)?;
    if has_trouble {
        sleep(FAILS_AFTER.saturating_sub(began_at.elapsed()));
        deployment.kill_control(0)?;
        deployment.wipe_control(0)?;
    }
    sleep((START_TIME - Duration::from_millis(20)).saturating_sub(began_at.elapsed()));
    deployment.start_control(2, true)?;
    if has_trouble {
        sleep(DOWN_TIME);
        deployment.start_control(0, false)?;
    }
    let back_at = Instant::now();

    let within = STABLE_WINDOW + ACK_TIME;
    let is_acknowledged = deployment.apply(CONFIG, within);
    record.add(&match is_acknowledged {
        true => "acknowledged in time".to_string(),
        false => format!(
            "not acknowledged {} ms after all machines run",
            back_at.elapsed().as_millis()
        ),
    });
    let mut served = 0;
    let mut asked = 0;
    let mut was_acknowledged = is_acknowledged;
    while began_at.elapsed() < LENGTH - READ_TIME && (!was_acknowledged || asked < 20) {
        asked += 1;
        served += u32::from(request(&deployment, asked));
        if !was_acknowledged {
            was_acknowledged = deployment.apply(CONFIG, Duration::from_millis(1000));
        }
        sleep(Duration::from_millis(200));
    }
    record.add(&format!(
        "acknowledged until the end: {was_acknowledged}; of {asked} requests of a client, {served} are served"
    ));
    let is_read = read_back(&deployment);
    record.add(&format!("the configuration is read back: {is_read}"));
    Ok(is_acknowledged && is_read)
}

/// Sends a client's request to the gateway; returns whether it is served.
fn request(deployment: &Deployment, number: u32) -> bool {
    let id = format!("{number:016x}");
    let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
    let answer = http::call(
        deployment.front(1),
        "GET /p/x",
        &headers,
        "",
        Duration::from_secs(2),
    );
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Reads the configuration at all control processes until one returns it.
fn read_back(deployment: &Deployment) -> bool {
    let began_at = Instant::now();
    while began_at.elapsed() < READ_TIME {
        for i in 0..CONTROLS {
            let addr = deployment.control(i);
            let answer = http::call(addr, "GET /config/get", &[], "", Duration::from_secs(1));
            match answer {
                Ok(answer) if answer.status() == 200 => return answer.body == CONFIG.as_bytes(),
                Ok(answer) => deployment.record.add(&format!(
                    "control {i} answers a read with {}: {}",
                    answer.status(),
                    String::from_utf8_lossy(&answer.body)
                )),
                Err(err) => deployment
                    .record
                    .add(&format!("control {i} answers no read: {err}")),
            }
        }
        sleep(Duration::from_millis(1000));
    }
    false
}
