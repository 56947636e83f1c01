use super::*;

fn change(replaces: u64, previous: u32, desired: u32) -> ServerChange {
    ServerChange {
        service: "s".to_string(),
        zone: "z".to_string(),
        replaces,
        desired,
        previous,
        reason: "r".to_string(),
    }
}

fn last(ledger: &ServerLedger) -> &LoggedOrder {
    &ledger.orders()["s"]["z"]
}

/// The decision of a deposed leader must not replace a later one of its successor.
#[test]
fn order_of_deposed_leader() {
    let mut ledger = ServerLedger::default();
    assert!(ledger.order(10, change(0, 4, 6)));
    assert!(!ledger.order(20, change(0, 4, 2)));
    assert!(ledger.order(30, change(1, 6, 7)));
    assert!(!ledger.acknowledge(40, 1));
    assert!(ledger.acknowledge(40, 2));
    assert_eq!((last(&ledger).desired, last(&ledger).ordered_ms), (7, 40));
}

/// An order that is repeated for failed starts must not extend the time for which other zones cannot be lowered.
#[test]
fn order_repeated() {
    let mut ledger = ServerLedger::default();
    ledger.order(10, change(0, 6, 4));
    ledger.acknowledge(11, 1);
    ledger.order(90, change(1, 4, 4));
    ledger.acknowledge(91, 2);
    let order = last(&ledger);
    assert_eq!((order.changed_ms, order.ordered_ms), (11, 91));
    assert!(order.is_lowering && order.is_accepted);
}

/// Services that are removed must not fill the log's state.
#[test]
fn apply_document_without_scaling() {
    let mut ledger = ServerLedger::default();
    ledger.order(10, change(0, 4, 6));
    let document = r#"{"name":"g","models":[],"targets":[],
        "services":[{"name":"s","kind":"plain","scaling":{"min":1,"max":9}}]}"#;
    ledger.apply_document(&serde_json::from_str(document).unwrap());
    assert_eq!(last(&ledger).desired, 6);
    let document = document.replace(r#","scaling":{"min":1,"max":9}"#, "");
    ledger.apply_document(&serde_json::from_str(&document).unwrap());
    assert!(ledger.orders().is_empty());
}
