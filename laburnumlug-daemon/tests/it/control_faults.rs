//! Faults of control processes, and what an operator gets from the others meanwhile.

use std::net::TcpStream;
use std::time::Duration;

use rustix::process::Signal;

use crate::control_fleet::ControlFleet;
use crate::harness::block_on;
use crate::platform_fleet::config;

/// Time within which voters must be found and configurations read: the recovery time that the platform states.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum number of connections of a listener for operators.
const MAX_CONNECTIONS: usize = 64;

/// Starts a fleet that tolerates as many losses as its disks allow, with a configuration in force.
async fn found(disks: usize, others: usize) -> ControlFleet {
    let mut fleet = ControlFleet::new((disks - 1) / 2, disks, others);
    for member in 0..disks + others {
        fleet.start(member, &[0, 1, 2], true);
    }
    let replicas: Vec<usize> = (0..disks).collect();
    fleet.wait_for_voters(&replicas, RECOVERY_TIMEOUT).await;
    fleet
        .replace_until_accepted(&replicas, &config(1, 500), RECOVERY_TIMEOUT)
        .await;
    fleet
}

fn signal(fleet: &ControlFleet, member: usize, signal: Signal) {
    let process = fleet.members[member].process.as_ref();
    process.unwrap().signal(signal);
}

/// Guards against an operator without a response for a second while no majority can confirm a read.
#[test]
fn read_without_majority_refused_in_time() {
    block_on(async {
        let mut fleet = found(5, 2).await;
        signal(&fleet, 2, Signal::STOP);
        for lost in [3, 4] {
            fleet.kill(lost);
        }
        compio::time::sleep(Duration::from_secs(3)).await;
        for member in [0, 1, 5, 6].repeat(4) {
            let addr = fleet.members[member].operator_addr;
            let refused = fleet.read_config(member).await.unwrap_err();
            assert!(refused.starts_with("status 503"), "from {addr}: {refused}");
        }
    });
}

/// Guards against idle connections that keep operators out for ten seconds, and redirects to there.
#[test]
fn read_beside_idle_connections() {
    block_on(async {
        let fleet = found(3, 2).await;
        for member in [0, 3] {
            let addr = fleet.members[member].operator_addr;
            let connect = |_| TcpStream::connect(addr).unwrap();
            let _idle: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(connect).collect();
            fleet
                .wait_for_config(&[0, 1, 3, 4], &config(1, 500), Duration::from_secs(3))
                .await;
        }
    });
}

/// Guards against a cluster that does not come back although three of five disks are left, as one of these processes was frozen or
/// its disk was full when all restarted.
#[test]
fn restart_with_three_disks_of_five_one_in_trouble() {
    block_on(async {
        for is_frozen in [true, false] {
            let mut fleet = found(5, 3).await;
            for member in 0..8 {
                fleet.kill(member);
            }
            fleet.wipe(1);
            fleet.wipe(3);
            for member in [0, 2, 4, 5, 6, 7] {
                fleet.start_full(member, &[0, 2, 5], member == 4 && !is_frozen);
            }
            let troubled = |fleet: &ControlFleet, is_over: bool| match (is_frozen, is_over) {
                (true, false) => signal(fleet, 4, Signal::STOP),
                (true, true) => signal(fleet, 4, Signal::CONT),
                (false, false) => {}
                (false, true) => {
                    let process = fleet.members[4].process.as_ref();
                    process.unwrap().limit_file_size(None);
                }
            };
            troubled(&fleet, false);
            compio::time::sleep(Duration::from_secs(4)).await;
            troubled(&fleet, true);
            fleet
                .wait_for_config(&[0, 2, 4, 5, 6, 7], &config(1, 500), RECOVERY_TIMEOUT)
                .await;
            for member in [1, 3] {
                fleet.start(member, &[5, 6, 7], false);
            }
            fleet
                .wait_for_voters(&[0, 1, 2, 3, 4], RECOVERY_TIMEOUT)
                .await;
        }
    });
}
