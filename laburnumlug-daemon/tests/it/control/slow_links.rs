//! Links between replicas that are slow, but work.

use std::time::Duration;

use laburnumlug_standin::Fault;

use super::{put_until_accepted, replica_name, three_replicas, wait_for_leader};
use crate::harness::{Fleet, block_on};

/// Time in which the proxies close all connections.
const CLOSING_TIME: Duration = Duration::from_millis(200);

/// Sets a fault on the links between replicas.
fn set_replica_link_fault(fleet: &Fleet, fault: Fault) {
    for (link, proxy) in &fleet.proxies {
        let ends = link.split_once('>');
        if ends.is_some_and(|(from, to)| from.starts_with("control-") && to.starts_with("control-"))
        {
            proxy.set_fault(fault);
        }
    }
}

/// Guards against replicas without a leader on links on which opening a connection takes longer than the timeout for it,
/// though requests on an open connection are answered in time.
fn assert_leader_is_replaced(delay: Duration) {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        // Connections that are open already need no handshake.
        set_replica_link_fault(&fleet, Fault::Disconnect);
        compio::time::sleep(CLOSING_TIME).await;
        set_replica_link_fault(&fleet, Fault::Delay(delay));
        fleet.process(&replica_name(leader)).kill();
        let remaining: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        wait_for_leader(&fleet, &remaining).await;
        put_until_accepted(&fleet, remaining[0], "after").await;
    });
}

#[test]
fn leader_replaced_with_delay_of_40_ms() {
    assert_leader_is_replaced(Duration::from_millis(40));
}

#[test]
fn leader_replaced_with_delay_of_80_ms() {
    assert_leader_is_replaced(Duration::from_millis(80));
}

#[test]
fn leader_replaced_with_delay_of_120_ms() {
    assert_leader_is_replaced(Duration::from_millis(120));
}
