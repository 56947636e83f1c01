//! Compares what the servers did with the answers that callers and the operator got.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Run;
use crate::callers::{CallRecord, End, ROUTE_TIMEOUT};
use crate::control_checks::find_control_violations;
use crate::deployment::Deployment;
use crate::injector::{Interruption, Reason};
use crate::orders::order_violation;
use crate::servers::{Outcome, ServerRun};
use crate::versions::find_version_violations;

/// Time after SIGTERM until which a request may be sent that the end of the grace period cuts.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

/// Time before a request in which a fault of its gateway excuses that the request was cut.
pub const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after the last byte of a request within which a connection may end, if no server got the request.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time by which an answer may end before its deadline or the route's timeout.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// Returns the violations of the guarantees to callers and to the operator.
pub fn find_violations(deployment: &Deployment, run: &Run) -> Vec<String> {
    let mut violations = run.violations.borrow().clone();
    let mut runs_by_id: HashMap<String, Vec<ServerRun>> = HashMap::new();
    for server_run in deployment.runs.lock().unwrap().iter() {
        let runs = runs_by_id.entry(server_run.id.clone()).or_default();
        runs.push(server_run.clone());
    }
    let calls = run.load.calls.lock().unwrap().clone();
    let interruptions = run.interruptions.borrow().clone();
    for record in &calls {
        let runs = runs_by_id.get(&record.id).map_or(&[][..], Vec::as_slice);
        let faults = answer_violation(record, runs)
            .into_iter()
            .chain(loss_violation(record, runs, &interruptions));
        for fault in faults {
            violations.push(describe(&fault, record, runs, &interruptions));
        }
    }
    find_version_violations(run, &calls, &mut violations);
    find_control_violations(run, &mut violations);
    print_counts(run, &calls, &mut violations);
    violations
}

/// Returns what is wrong with an answer, or with how often its request was run.
fn answer_violation(record: &CallRecord, runs: &[ServerRun]) -> Option<String> {
    let executed = runs.iter().filter(|run| run.outcome != Outcome::Refused);
    let count = executed.clone().count();
    let content = format!("POST {} body", record.path);
    let header = |name| record.head.as_ref().and_then(|head| head.get(name));
    let echo = header("x-request-id");
    let seal = header("x-server-seal");
    let is_whole = record.end == End::Whole;
    let is_server_answer = executed.clone().any(|run| {
        let body = format!("answer of {} to {}", run.instance, record.id);
        record.body == body && seal == Some(&run.instance)
    });
    let text = match record.status() {
        _ if runs.iter().any(|run| run.content != content) => "UNASKED: the request was changed",
        _ if matches!(record.route, "once" | "held") && count > 1 => "TWICE: ran more than once",
        Some(408 | 421 | 429 | 503) if count > 0 => "REFUSED: answered as not run, but ran",
        Some(404) if !matches!(record.route, "v" | "only") => {
            "DENIED: no route, though each configuration has it"
        }
        Some(_) if echo.is_some_and(|id| id != record.id) => "MIXED: answer to another request",
        Some(200) if count == 0 => "MIXED: success that no server gave",
        Some(200) if seal.is_none() => "MIXED: success without a seal",
        Some(200) if record.events > 0 => return order_violation(record),
        Some(200) if is_whole && !is_server_answer => "MIXED: body that no server sent",
        _ => return None,
    };
    Some(text.to_string())
}

/// Returns whether a request that its gateway had read ended without a whole answer, and nothing excuses it.
fn loss_violation(
    record: &CallRecord,
    runs: &[ServerRun],
    interruptions: &[Interruption],
) -> Option<String> {
    let own = interruptions
        .iter()
        .filter(|interruption| interruption.gateway == record.gateway);
    if own
        .clone()
        .any(|fault| fault.reason == Reason::Fault && is_near(fault, record))
    {
        return None;
    }
    if record.end == End::Silent {
        return Some("CONFIG: no answer long after the route's timeout".to_string());
    }
    // A pipelined request may be unread when the answer before it closes the connection.
    let was_read =
        !runs.is_empty() || (!record.is_pipelined && record.ended_at - record.sent_at > LOSS_SLACK);
    if record.end != End::Cut || !was_read {
        return None;
    }
    // A caller on a busy machine may receive the answer before late, and the gateway have gone on already.
    let began_at = runs.first().map_or(record.due_at, |run| run.began_at);
    let timeout_at = began_at.min(record.due_at) + record.deadline.min(ROUTE_TIMEOUT);
    let is_timed_out = record.ended_at + TIMEOUT_SLACK >= timeout_at;
    let mut executed = runs.iter().filter(|run| run.outcome != Outcome::Refused);
    let is_broken_off = executed
        .next_back()
        .is_some_and(|run| run.outcome == Outcome::BrokenOff);
    let is_cut_by_exit = own.clone().any(|stop| match stop.reason {
        Reason::Stop { grace } => {
            record.sent_at <= stop.from + EXCUSED_TIME
                && stop.from <= record.ended_at
                && runs
                    .iter()
                    .any(|run| run.is_working_at(stop.from + grace * 5 / 6))
        }
        Reason::Fault => false,
    });
    if is_timed_out || is_broken_off || is_cut_by_exit {
        return None;
    }
    Some("LOST: read, and ended without a whole answer".to_string())
}

impl ServerRun {
    /// Returns whether the server was at work at some time from `from` on.
    fn is_working_at(&self, from: Instant) -> bool {
        self.ended_at.is_none_or(|ended_at| ended_at >= from)
    }
}

/// Describes a violation with all times, in seconds from the first byte of the request.
fn describe(
    fault: &str,
    record: &CallRecord,
    runs: &[ServerRun],
    interruptions: &[Interruption],
) -> String {
    let since = |at: Instant| match at.checked_duration_since(record.began_at) {
        Some(after) => format!("{:+.3}", after.as_secs_f64()),
        None => format!("-{:.3}", (record.began_at - at).as_secs_f64()),
    };
    let CallRecord {
        id,
        path,
        gateway,
        is_chunked,
        is_pipelined,
        resumes,
        end,
        body,
        ..
    } = record;
    let (status, sent, ended) = (
        record.status(),
        since(record.sent_at),
        since(record.ended_at),
    );
    let mut text = format!(
        "{fault}\n    {id} {path} at gateway {gateway}, chunked {is_chunked}, pipelined {is_pipelined}, \
         resumes {resumes:?}: sent {sent}, {end:?} {status:?} {ended}\n    body {body:?}"
    );
    for run in runs {
        let ended = run.ended_at.map_or("-".to_string(), since);
        let (began, instance, outcome) = (since(run.began_at), &run.instance, run.outcome);
        text += &format!("\n    run at {instance} from {began} to {ended}: {outcome:?}");
    }
    let own = interruptions.iter().filter(|i| i.gateway == record.gateway);
    for near in own.filter(|i| is_near(i, record)) {
        let (from, until) = (since(near.from), since(near.until));
        text += &format!("\n    {:?} from {from} to {until}", near.reason);
    }
    text
}

/// Returns whether an interruption lies between the stable time before a request and its end.
pub fn is_near(interruption: &Interruption, record: &CallRecord) -> bool {
    interruption.from <= record.ended_at && record.began_at <= interruption.until + STABLE_TIME
}

fn print_counts(run: &Run, calls: &[CallRecord], violations: &mut Vec<String>) {
    let count = |is_counted: &dyn Fn(&CallRecord) -> bool| {
        calls.iter().filter(|record| is_counted(record)).count()
    };
    let changes = run.changes.borrow();
    let acknowledged = changes
        .iter()
        .filter(|c| c.acknowledged_at.is_some())
        .count();
    let answered = count(&|record| record.status() == Some(200) && record.end == End::Whole);
    let interruptions = run.interruptions.borrow();
    let faults = interruptions
        .iter()
        .filter(|i| i.reason == Reason::Fault)
        .count();
    let attempts = run.control.attempts.borrow();
    let redirects: usize = attempts.iter().map(|a| a.redirects.len()).sum();
    println!(
        "{} calls, {answered} answered, {} refused, {} cut, {} resumed by callers, {} stops, {faults} faults of gateways, \
         {acknowledged} of {} changes acknowledged, {} reads, {} faults of control processes, {} redirects, ready after {:?}",
        calls.len(),
        count(&|record| record.status() == Some(503)),
        count(&|record| record.end == End::Cut),
        count(&|record| record.resumes.is_some()),
        interruptions.len() - faults,
        changes.len(),
        run.reads.borrow().len(),
        run.control.outages.borrow().len(),
        redirects,
        run.recovered_after.get(),
    );
    if answered == 0 || acknowledged == 0 {
        let text = "no request was answered or no change acknowledged, so nothing was tested";
        violations.push(text.to_string());
    }
}
