//! The servers of a service are restarted one after the other, and each starts again under the id and at the address that it had.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, config, request};
use crate::http::call;
use crate::server::part;

/// Time from the notice of a server until its process ends; the drain time of the deployment is 3 s.
const DRAIN: Duration = Duration::from_millis(3200);

/// Time until a server that has ended starts again.
const RESTART: Duration = Duration::from_millis(2100);

/// Time after the last restart in which requests are still sent, and after which all gateways should serve again (`recoverS`).
const AFTER: Duration = Duration::from_secs(60);
const RECOVER: Duration = Duration::from_secs(12);

/// One request of a client.
struct Sent {
    class: &'static str,
    at: Instant,
    is_served: bool,
}

/// Runs the case and returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::new(record);
    let servers = [(1, "i-1"), (2, "i-2")];
    for (number, id) in servers {
        deployment.start_server(number, id, "booking");
    }
    deployment.start_server(3, "i-3", "listing");
    deployment.start(2);
    let routes = [
        ("/bookings/", "unsafe", 600, "booking"),
        ("/listings/", "safe", 600, "listing"),
    ];
    if !deployment.configure(&config(1, &routes), Duration::from_secs(20))
        || !deployment.await_ready(1, Duration::from_secs(20))
        || !deployment.await_ready(2, Duration::from_secs(20))
    {
        return None;
    }
    sleep(Duration::from_secs(1));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = [
        ("booking", "POST", "/bookings/quick"),
        ("listing", "GET", "/listings/quick"),
    ]
    .into_iter()
    .map(|(class, method, path)| {
        let (is_over, sent) = (is_over.clone(), sent.clone());
        let fronts = [deployment.front(1), deployment.front(2)];
        std::thread::spawn(move || {
            let mut answers: Vec<(String, u64)> = Vec::new();
            for i in 0_usize.. {
                if is_over.load(Ordering::Relaxed) {
                    return answers;
                }
                let id = format!("{class}-{i}");
                let at = Instant::now();
                let answer = call(
                    fronts[i % 2],
                    &request(method, path, &id, 600),
                    Duration::from_millis(700),
                );
                let is_served =
                    answer.status == 200 && answer.body == part(&id, 1, false).as_bytes();
                sent.lock().unwrap().push(Sent {
                    class,
                    at,
                    is_served,
                });
                let text = String::from_utf8_lossy(&answer.body);
                let text = match is_served {
                    true => "served".to_string(),
                    false => format!("{} {text} {}", answer.status, answer.error),
                };
                match answers.iter_mut().find(|(known, _)| *known == text) {
                    Some((_, count)) => *count += 1,
                    None => answers.push((text, 1)),
                }
                sleep(Duration::from_millis(100));
            }
            answers
        })
    })
    .collect();
    sleep(Duration::from_secs(1));
    let keeps_id = std::env::var("NEWID").as_deref() != Ok("1");
    for (number, id) in servers {
        if has_trouble {
            deployment.announce_leaving(id);
            sleep(DRAIN);
            deployment.kill(id);
            deployment.note(format!("{id} has ended; the list no longer shows it"));
            deployment.change_list(|rows| rows.retain(|row| row.id != id));
            sleep(RESTART);
            match keeps_id {
                true => deployment.start_server(number, id, "booking"),
                false => deployment.start_server(number, &format!("{id}-new"), "booking"),
            }
        } else {
            sleep(DRAIN + RESTART);
        }
    }
    let back_at = Instant::now();
    sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        for (text, count) in client.join().ok()? {
            deployment.note(format!("{count} requests: {text}"));
        }
    }
    let sent = sent.lock().unwrap();
    let share = |class: Option<&str>, since: Option<Instant>| {
        let counted = sent
            .iter()
            .filter(|sent| class.is_none_or(|class| sent.class == class));
        let counted: Vec<&Sent> = counted
            .filter(|sent| since.is_none_or(|since| sent.at >= since))
            .collect();
        let served = counted.iter().filter(|sent| sent.is_served).count();
        (
            served,
            counted.len(),
            served as f64 / counted.len().max(1) as f64,
        )
    };
    for class in ["booking", "listing"] {
        let (served, all, _) = share(Some(class), None);
        let (served_after, all_after, _) = share(Some(class), Some(back_at + RECOVER));
        deployment.note(format!(
            "{class}: {served} of {all} served over the whole run; {served_after} of {all_after} that were sent later than 12 s \
             after all servers were back"
        ));
    }
    let is_starved = share(Some("booking"), None).2 < share(None, None).2 / 4.0;
    if is_starved {
        deployment
            .note("RULE BROKEN: bookings are served less than a quarter as often as all requests");
    }
    let lines = std::fs::read_to_string(deployment.server_log()).unwrap_or_default();
    deployment.note(format!(
        "servers have run {} requests",
        lines.lines().filter(|line| line.contains(" runs ")).count()
    ));
    Some(!is_starved)
}
