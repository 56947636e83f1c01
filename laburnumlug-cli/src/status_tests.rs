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

/// A deposed leader that has not heard of its successor must not be shown as the holder.
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
