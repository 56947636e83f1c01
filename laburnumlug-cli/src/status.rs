//! The command `status`: prints the state of replicas, targets and other processes.

use std::time::Duration;

use eyre::Result;
use serde_json::{Value, json};

use crate::operator_args::StatusArgs;
use crate::operator_client::{NO_REPLICA, OperatorClient, ReplicaStatus};
use crate::table::Table;

/// Interval at which `--watch` prints.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Escape sequences that clear the terminal and move the cursor to its top left corner.
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

/// Prints the state of the fleet once, or repeatedly with `--watch`.
pub(crate) async fn run(args: StatusArgs) -> Result<()> {
    let client = OperatorClient::new(&args.connection())?;
    loop {
        let result = print_status(&client, &args).await;
        if !args.watch {
            return result;
        }
        if let Err(err) = result {
            eprintln!("{err:#}");
        }
        compio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn print_status(client: &OperatorClient, args: &StatusArgs) -> Result<()> {
    let replicas = client.statuses().await?;
    let fleet = client.fleet_document().await?;
    let document: Value = serde_json::from_str(&fleet.text)?;
    if args.json {
        println!("{}", json_report(&replicas, &document));
        return Ok(());
    }
    if args.watch {
        print!("{CLEAR_SCREEN}");
    }
    println!("{}", text_report(&replicas, &document));
    Ok(())
}

fn json_report(replicas: &[ReplicaStatus], document: &Value) -> Value {
    let rows = replicas.iter().map(|replica| match &replica.status {
        Ok(status) => json!({ "address": replica.addr, "status": status }),
        Err(reason) => json!({ "address": replica.addr, "error": reason }),
    });
    json!({ "replicas": rows.collect::<Vec<Value>>(), "document": document })
}

/// Formats the statuses of the replicas and the document as tables.
fn text_report(replicas: &[ReplicaStatus], document: &Value) -> String {
    let newest = newest_status(replicas).cloned().unwrap_or(Value::Null);
    let mut text = format!(
        "{}: version {}\n",
        cell_text(&document["name"]),
        cell_text(&newest["version"])
    );
    text.push_str(&replica_table(replicas));
    text.push_str(&membership(replicas));
    text.push_str(&voters_of_unknown_state(replicas, &newest));
    text.push_str(&duties(replicas));
    text.push_str(&target_table(&newest, document));
    text.push_str(&other_process_table(&newest, document));
    text
}

/// Returns the status of the replica with the highest commit index, or `None` if no replica answered.
fn newest_status(replicas: &[ReplicaStatus]) -> Option<&Value> {
    let statuses = replicas.iter().filter_map(|r| r.status.as_ref().ok());
    statuses.max_by_key(|status| status["committed"].as_u64())
}

/// Lists the replicas with their lag, the number of entries by which their commit index is behind the highest one.
fn replica_table(replicas: &[ReplicaStatus]) -> String {
    let newest = newest_status(replicas).and_then(|status| status["committed"].as_u64());
    let header = ["replica", "address", "state", "term", "committed", "lag"];
    let mut table = Table::new(&header);
    for replica in replicas {
        let addr = replica.addr.to_string();
        let status = match &replica.status {
            Ok(status) => status,
            Err(reason) => {
                let state = match reason == NO_REPLICA {
                    true => NO_REPLICA,
                    false => "no answer",
                };
                table.push_row(&["-".to_string(), addr, state.to_string()]);
                continue;
            }
        };
        let name = cell_text(&status["replica"]["name"]);
        let state = match (status["leader"] == *name, status["is_voter"] == true) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "no vote",
        };
        let committed = status["committed"].as_u64();
        let lag = newest.zip(committed).map(|(newest, own)| newest - own);
        table.push_row(&[
            name,
            addr,
            state.to_string(),
            cell_text(&status["term"]),
            cell_text(&status["committed"]),
            lag.map_or("-".to_string(), |lag| lag.to_string()),
        ]);
    }
    format!("\n{}", table.render())
}

/// Returns how many voters there are and answer their leader, or nothing if replicas of earlier versions do not tell.
fn membership(replicas: &[ReplicaStatus]) -> String {
    let statuses = replicas.iter().filter_map(|r| r.status.as_ref().ok());
    let told: Vec<&Value> = statuses
        .filter(|status| status.get("voters_wanted").is_some())
        .collect();
    // A deposed leader may take itself for the leader for a moment.
    let leading = told.iter().filter(|s| s["voters_responsive"].is_u64());
    let newest = match leading.max_by_key(|status| status["term"].as_u64()) {
        Some(leader) => leader,
        None => match told.iter().max_by_key(|s| s["committed"].as_u64()) {
            Some(newest) => newest,
            None => return String::new(),
        },
    };
    let count = array_items(newest, "voters").len() as u64;
    let wanted = match newest["voters_wanted"].as_u64() {
        Some(wanted) => format!(" of {wanted} wanted"),
        None => String::new(),
    };
    let Some(responsive) = newest["voters_responsive"].as_u64() else {
        return format!("voters: {count}{wanted}, no status of their leader\n");
    };
    let names = |list| {
        let names = array_items(newest, list).into_iter().map(cell_text);
        names.collect::<Vec<String>>().join(", ")
    };
    let silent = match names("voters_silent") {
        silent if silent.is_empty() => String::new(),
        silent => format!(", silent: {silent}"),
    };
    let learners = match names("learners") {
        learners if learners.is_empty() => String::new(),
        learners => format!(", learners: {learners}"),
    };
    let few = match responsive < newest["voters_wanted"].as_u64().unwrap_or(0).max(count) {
        true => " (TOO FEW)",
        false => "",
    };
    format!("voters: {count}{wanted}, {responsive} responsive{few}{silent}{learners}\n")
}

/// Lists the voters of unknown state: those that `--control` does not name or that did not answer.
fn voters_of_unknown_state(replicas: &[ReplicaStatus], newest: &Value) -> String {
    let statuses = replicas.iter().filter_map(|r| r.status.as_ref().ok());
    let known: Vec<String> = statuses
        .map(|status| cell_text(&status["replica"]["name"]))
        .collect();
    let voters = array_items(newest, "voters")
        .into_iter()
        .map(|v| cell_text(&v["name"]));
    let unknown: Vec<String> = voters.filter(|name| !known.contains(name)).collect();
    match unknown.is_empty() {
        true => String::new(),
        false => format!("voters of unknown state: {}\n", unknown.join(", ")),
    }
}

/// Returns who makes the calls to the platform that one replica makes at a time, or nothing if there are no such calls.
fn duties(replicas: &[ReplicaStatus]) -> String {
    let statuses = replicas.iter().filter_map(|r| r.status.as_ref().ok());
    let duties: Vec<&Value> = statuses
        .map(|status| &status["duties"])
        .filter(|duties| duties.is_object())
        .collect();
    // A deposed leader may take itself for the holder for a moment.
    let held = duties.iter().filter(|duties| duties["held"].is_object());
    let newest = held.max_by_key(|duties| duties["held"]["fence"].as_u64());
    match newest {
        None if duties.is_empty() => String::new(),
        None => "duties: no holder\n".to_string(),
        Some(duties) => {
            let held = &duties["held"];
            let seconds = held["held_ms"].as_u64().unwrap_or(0) / 1000;
            let state = match held["is_acting"] == true {
                true => "",
                false => ", waiting for the previous holder's last calls",
            };
            let windows = array_items(duties, "pending_windows");
            let pending = match windows.first() {
                _ if duties["pending_windows"].is_null() => String::new(),
                None => "; windows to report: none".to_string(),
                Some(oldest) => format!("; windows to report: {} since {oldest}", windows.len()),
            };
            let held = format!(
                "duties: held by {} for {seconds} s with fence {}{state}{pending}\n",
                cell_text(&held["holder"]),
                cell_text(&held["fence"]),
            );
            held + &server_table(duties)
        }
    }
}

/// Lists the numbers of targets that are ordered from the platform, by service and zone.
fn server_table(duties: &Value) -> String {
    let servers = array_items(duties, "servers");
    if servers.is_empty() {
        return String::new();
    }
    let header = [
        "service", "zone", "ordered", "present", "starting", "order", "reason",
    ];
    let mut table = Table::new(&header);
    for server in servers {
        let order = match &server["is_accepted"] {
            Value::Bool(true) => "accepted",
            Value::Bool(false) => "not accepted yet",
            _ => "-",
        };
        table.push_row(&[
            cell_text(&server["service"]),
            cell_text(&server["zone"]),
            cell_text(&server["ordered"]),
            cell_text(&server["present"]),
            cell_text(&server["starting"]),
            order.to_string(),
            cell_text(&server["reason"]),
        ]);
    }
    format!("\n{}", table.render())
}

fn target_table(status: &Value, document: &Value) -> String {
    let mut table = Table::new(&[
        "target",
        "service",
        "zone",
        "state",
        "role",
        "models",
        "order",
        "version in force",
    ]);
    for target in array_items(document, "targets") {
        let name = cell_text(&target["name"]);
        table.push_row(&[
            name.clone(),
            cell_text(&target["service"]),
            cell_text(&target["zone"]),
            cell_text(&target["state"]),
            intended_role(status, target),
            model_names(target),
            order_progress(status, &name),
            version_in_force(status, &name),
        ]);
    }
    format!("\n{}", table.render())
}

/// Returns the role that a target is intended to have; the planner may have replaced the one in the document.
fn intended_role(status: &Value, target: &Value) -> String {
    // A plain application server has no models and therefore no role.
    match target_row(status, "intents", &cell_text(&target["name"])) {
        Some(intent) if !array_items(target, "models").is_empty() => cell_text(&intent["role"]),
        _ => cell_text(&target["role"]),
    }
}

/// Returns the generation of a target's newest order, and whether the engine has carried it out.
fn order_progress(status: &Value, target: &str) -> String {
    let Some(intent) = target_row(status, "intents", target) else {
        return "-".to_string();
    };
    let newest = &intent["generation"];
    match target_row(status, "orders", target) {
        Some(report) if report["generation"] == *newest => {
            format!("{newest} {}", cell_text(&report["result"]))
        }
        Some(report) => format!("{newest} pending, engine at {}", report["generation"]),
        None => newest.to_string(),
    }
}

fn target_row<'a>(status: &'a Value, list: &str, target: &str) -> Option<&'a Value> {
    let mut rows = array_items(status, list).into_iter();
    rows.find(|row| row["target"] == target)
}

/// Lists the processes that belong to no target, such as entries.
fn other_process_table(status: &Value, document: &Value) -> String {
    let targets = array_items(document, "targets");
    let is_target = |name: &Value| targets.iter().any(|target| target["name"] == *name);
    let others: Vec<&Value> = array_items(status, "nodes")
        .into_iter()
        .filter(|node| !is_target(&node["process"]))
        .collect();
    if others.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["process", "version in force"]);
    for node in others {
        table.push_row(&[cell_text(&node["process"]), cell_text(&node["version"])]);
    }
    format!("\n{}", table.render())
}

fn version_in_force(status: &Value, process: &str) -> String {
    let nodes = array_items(status, "nodes");
    let node = nodes.iter().find(|node| node["process"] == process);
    node.map_or("not reported".to_string(), |node| {
        cell_text(&node["version"])
    })
}

fn model_names(target: &Value) -> String {
    let models = array_items(target, "models");
    let names: Vec<String> = models
        .iter()
        .map(|m| format!("{}@{}", cell_text(&m["model"]), cell_text(&m["version"])))
        .collect();
    names.join(" ")
}

fn array_items<'a>(value: &'a Value, list: &str) -> Vec<&'a Value> {
    let rows = value[list].as_array();
    rows.map_or(Vec::new(), |rows| rows.iter().collect())
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
