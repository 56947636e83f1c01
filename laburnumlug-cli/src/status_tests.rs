use super::*;

fn status(duties: Value) -> ReplicaStatus {
    ReplicaStatus {
        addr: "127.0.0.1:1".parse().unwrap(),
        status: Ok(json!({ "duties": duties })),
    }
}

fn held(holder: &str, fence: u64, is_acting: bool, windows: &[u64]) -> Value {
    let held = json!({ "holder": holder, "fence": fence, "held_ms": 7300, "is_acting": is_acting });
    json!({ "held": held, "pending_windows": windows, "gateways": 4 })
}

/// A deposed leader that does not know its successor must not be shown as the holder.
#[test]
fn duties_newest_holder() {
    let follower = status(json!({ "held": null, "pending_windows": [8, 9], "gateways": 4 }));
    let replicas = [
        status(held("front-1", 4, true, &[9])),
        status(held("front-2", 5, false, &[8, 9])),
        follower,
    ];
    assert_eq!(
        duties(&replicas),
        "duties: held by front-2 for 7 s with fence 5, waiting for the previous holder's last calls; windows to report: 2 since 8\n"
    );
    assert_eq!(duties(&replicas[2..]), "duties: no holder\n");
}

#[test]
fn duties_none() {
    assert_eq!(duties(&[status(Value::Null)]), "");
}

/// Where no usage is reported, the numbers of targets must be shown all the same, also before the first order.
#[test]
fn duties_servers_without_usage() {
    let mut duties_json = held("front-1", 4, true, &[]);
    duties_json["pending_windows"] = Value::Null;
    duties_json["servers"] = json!([
        { "service": "s", "zone": "z1", "ordered": 6, "present": 4, "starting": 2, "reason": "surplus", "is_accepted": true },
        { "service": "s", "zone": "z2", "ordered": null, "present": 4, "starting": 0, "reason": null, "is_accepted": null },
    ]);
    let text = duties(&[status(duties_json)]);
    let words = |line: usize| {
        text.lines()
            .nth(line)
            .unwrap()
            .split_whitespace()
            .collect::<Vec<_>>()
    };
    assert_eq!(
        text.lines().next().unwrap(),
        "duties: held by front-1 for 7 s with fence 4"
    );
    assert_eq!(words(3), ["s", "z1", "6", "4", "2", "accepted", "surplus"]);
    assert_eq!(words(4), ["s", "z2", "-", "4", "0", "-", "-"]);
}

/// Returns the status of a replica of which `members` are set.
fn membership_status(members: Value) -> ReplicaStatus {
    ReplicaStatus {
        addr: "127.0.0.1:1".parse().unwrap(),
        status: Ok(members),
    }
}

fn voters(count: usize) -> Value {
    let voters = (0..count).map(|i| json!({ "name": format!("c{i}"), "incarnation": 1 }));
    voters.collect()
}

#[test]
fn membership_short() {
    let leader = membership_status(json!({
        "term": 4, "voters": voters(4), "voters_wanted": 5, "voters_responsive": 3, "voters_silent": ["c3"], "learners": ["c7"],
    }));
    let deposed = membership_status(json!({
        "term": 3, "voters": voters(5), "voters_wanted": 5, "voters_responsive": 5, "voters_silent": [], "learners": [],
    }));
    assert_eq!(
        membership(&[deposed, leader]),
        "voters: 4 of 5 wanted, 3 responsive (TOO FEW), silent: c3, learners: c7\n"
    );
}

#[test]
fn membership_complete() {
    let status = |wanted: Value| {
        membership_status(json!({
            "term": 4, "voters": voters(3), "voters_wanted": wanted, "voters_responsive": 3, "voters_silent": [], "learners": [],
        }))
    };
    let configured = membership(&[status(json!(3))]);
    assert_eq!(configured, "voters: 3 of 3 wanted, 3 responsive\n");
    assert_eq!(
        membership(&[status(Value::Null)]),
        "voters: 3, 3 responsive\n"
    );
}

#[test]
fn membership_without_leader() {
    let follower = membership_status(json!({
        "committed": 9, "voters": voters(3), "voters_wanted": 5, "voters_responsive": null,
    }));
    assert_eq!(
        membership(&[follower]),
        "voters: 3 of 5 wanted, no status of their leader\n"
    );
}

/// Replicas of earlier versions do not tell the number.
#[test]
fn membership_not_told() {
    let earlier = membership_status(json!({ "voters": voters(3) }));
    assert_eq!(membership(&[earlier]), "");
}
