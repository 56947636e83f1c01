//! Control processes that find each other although the settings name only some of them.

use std::time::{Duration, Instant};

use crate::control_fleet::ControlFleet;
use crate::harness::{block_on, wait_for};
use crate::platform_fleet::{Gateway, config, readiness_status};

/// Time after which everyone must have found the replicas: the recovery time that the platform states.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Starts the processes of a fleet for the first time, and waits until the replicas vote and a configuration is in force.
async fn found(fleet: &mut ControlFleet, seeds: &[usize], voters: &[usize]) {
    for member in 0..fleet.members.len() {
        fleet.start(member, seeds, true);
    }
    fleet.wait_for_voters(voters, RECOVERY_TIMEOUT).await;
    let accepted = config(1, 500);
    fleet
        .replace_until_accepted(voters, &accepted, RECOVERY_TIMEOUT)
        .await;
}

/// Returns the index of the leader.
async fn leader(fleet: &ControlFleet, replicas: &[usize]) -> usize {
    wait_for("a leader", || async {
        let status = fleet.status(replicas[0]).await?;
        let name = status["leader"].as_str()?.to_string();
        let names = |i: &&usize| fleet.members[**i].mesh_addr.to_string() == name;
        replicas.iter().find(names).copied()
    })
    .await
}

/// Guards against a replacement that never votes because its seeds follow and do not tell the leader: the next losses within the
/// tolerance then take the majority.
#[test]
fn replica_replaced_with_followers_as_seeds() {
    block_on(async {
        let mut fleet = ControlFleet::new(2, 5, 0);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2, 3, 4]).await;
        let leader = leader(&fleet, &[0, 1, 2, 3, 4]).await;
        let followers: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
        fleet.kill(followers[0]);
        let replacement = fleet.add(true);
        fleet.start(replacement, &followers[1..], false);
        let mut voters = followers[1..].to_vec();
        voters.extend([leader, replacement]);
        fleet.wait_for_voters(&voters, RECOVERY_TIMEOUT).await;
        // Two further losses at once are within the tolerance.
        fleet.kill(leader);
        fleet.kill(followers[1]);
        let running = fleet.running();
        fleet
            .wait_for_config(&running, &config(1, 500), RECOVERY_TIMEOUT)
            .await;
    });
}

/// Guards against a configuration that is lost although at most two of five replicas are lost at once: the leader is replaced
/// before it has replaced another voter, and its successor counts the silence of that voter from its own election.
#[test]
fn replicas_replaced_with_leader_in_between() {
    block_on(async {
        let mut fleet = ControlFleet::new(2, 5, 0);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2, 3, 4]).await;
        let leader = leader(&fleet, &[0, 1, 2, 3, 4]).await;
        let followers: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
        let start = Instant::now();
        // A replaced replica counts as lost until 4 s after its successor has started.
        let moments = [0, 2500, 4200].map(Duration::from_millis);
        for (moment, lost) in moments
            .into_iter()
            .zip([followers[0], leader, followers[1]])
        {
            compio::time::sleep(moment.saturating_sub(start.elapsed())).await;
            fleet.kill(lost);
            let seeds = fleet.running();
            let replacement = fleet.add(true);
            fleet.start(replacement, &seeds[..3], false);
        }
        let running = fleet.running();
        fleet
            .wait_for_config(&running, &config(1, 500), RECOVERY_TIMEOUT)
            .await;
    });
}

/// Guards against a replica that returns after all voters in its folder were replaced, and then waits for them for ever.
#[test]
fn replica_returns_after_all_others_were_replaced() {
    block_on(async {
        let mut fleet = ControlFleet::new(1, 3, 0);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2]).await;
        let mut voters = vec![0, 1, 2];
        fleet.kill(0);
        for _ in 0..3 {
            let replacement = fleet.add(true);
            let seeds: Vec<usize> = voters
                .iter()
                .copied()
                .filter(|i| fleet.running().contains(i))
                .collect();
            fleet.start(replacement, &seeds, false);
            let replaced = voters[0];
            if replaced != 0 {
                fleet.kill(replaced);
            }
            voters.remove(0);
            voters.push(replacement);
            fleet.wait_for_voters(&voters, RECOVERY_TIMEOUT).await;
        }
        fleet.start(0, &voters, false);
        // It is a learner, and replaces the next voter that is lost.
        fleet.kill(voters[0]);
        let mut remaining = voters[1..].to_vec();
        remaining.push(0);
        fleet.wait_for_voters(&remaining, RECOVERY_TIMEOUT).await;
    });
}

/// Guards against a replacement that finds no replica because its seeds have no disk.
#[test]
fn replica_replaced_with_seeds_without_replica() {
    block_on(async {
        let mut fleet = ControlFleet::new(2, 5, 4);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2, 3, 4]).await;
        fleet.kill(1);
        let replacement = fleet.add(true);
        fleet.start(replacement, &[5, 6, 7], false);
        fleet
            .wait_for_voters(&[0, 2, 3, 4, replacement], RECOVERY_TIMEOUT)
            .await;
    });
}

/// Guards against gateways that find no replica because their seeds have no disk.
#[test]
fn gateway_with_seeds_without_replica() {
    block_on(async {
        let mut fleet = ControlFleet::new(1, 3, 4);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2]).await;
        // A process without a replica, with seeds that have none either, as those of the gateway.
        let seeds = fleet.mesh_addrs(&[3, 4, 5]);
        fleet.start(3, &[4, 5, 6], false);
        fleet.start(4, &[3, 5, 6], false);
        let gateway = Gateway::start(&fleet.folder, &seeds).await;
        wait_for("a ready gateway", || async {
            (readiness_status(gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
    });
}

/// Guards against redirects to a process without a replica, or to one that is down, while others live.
#[test]
fn redirect_only_to_live_replicas() {
    block_on(async {
        let mut fleet = ControlFleet::new(2, 5, 6);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2, 3, 4]).await;
        let without_disk: Vec<usize> = (5..11).collect();
        fleet.start(5, &[6, 7, 8], false);
        fleet.start(6, &[5, 7, 9], false);
        fleet
            .wait_for_config(&without_disk, &config(1, 500), RECOVERY_TIMEOUT)
            .await;
        for lost in [0, 1] {
            fleet.kill(lost);
        }
        fleet
            .wait_for_config(&without_disk, &config(1, 500), RECOVERY_TIMEOUT)
            .await;
        for _ in 0..10 {
            for member in &without_disk {
                let read = fleet.read_config(*member).await;
                assert_eq!(read, Ok(config(1, 500)), "from process {member}");
            }
        }
    });
}

/// Guards against a configuration that does not come after all power and two disks are lost, and all seeds are exchanged.
#[test]
fn all_restarted_with_other_seeds_and_two_disks_lost() {
    block_on(async {
        let mut fleet = ControlFleet::new(2, 5, 10);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2, 3, 4]).await;
        for member in 0..15 {
            fleet.kill(member);
        }
        fleet.wipe(1);
        fleet.wipe(3);
        for member in 0..15 {
            let seeds = [(member + 4) % 15, (member + 7) % 15, (member + 9) % 15];
            fleet.start(member, &seeds, false);
        }
        let seeds = fleet.mesh_addrs(&[6, 7, 8]);
        let gateway = Gateway::start(&fleet.folder, &seeds).await;
        let all: Vec<usize> = (0..15).collect();
        fleet
            .wait_for_config(&all, &config(1, 500), RECOVERY_TIMEOUT)
            .await;
        fleet
            .wait_for_voters(&[0, 1, 2, 3, 4], RECOVERY_TIMEOUT)
            .await;
        wait_for("a ready gateway", || async {
            (readiness_status(gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
    });
}

/// Founds a fleet of four replicas and four processes without one, of which those at `seeds` are the seeds, and returns the
/// number of clusters.
async fn clusters_founded(seeds: [usize; 3]) -> usize {
    let mut fleet = ControlFleet::new(1, 4, 4);
    for member in (0..8).rev() {
        fleet.start(member, &seeds, true);
        compio::time::sleep(Duration::from_millis(40)).await;
    }
    let all: Vec<usize> = (0..8).collect();
    let accepted = config(1, 500);
    fleet
        .replace_until_accepted(&all, &accepted, RECOVERY_TIMEOUT)
        .await;
    fleet
        .wait_for_config(&all, &accepted, RECOVERY_TIMEOUT)
        .await;
    let mut leaders = Vec::new();
    for replica in 0..4 {
        leaders.push(
            wait_for("a replica with a leader", || async {
                let status = fleet.status(replica).await?;
                status["leader"].as_str().map(str::to_string)
            })
            .await,
        );
    }
    leaders.sort();
    leaders.dedup();
    leaders.len()
}

/// Guards against a fleet that is never founded, or founded twice, as its seeds hold three replicas, two, one or none.
#[test]
fn bootstrap_with_any_seeds() {
    block_on(async {
        for seeds in [[0, 1, 2], [1, 2, 5], [4, 3, 6], [4, 5, 7]] {
            assert_eq!(clusters_founded(seeds).await, 1, "seeds {seeds:?}");
        }
    });
}

/// Guards against a cluster that is founded although a seed does not answer, which might hold data.
#[test]
fn bootstrap_with_silent_seed() {
    block_on(async {
        for seeds in [[0, 1, 5], [4, 5, 6]] {
            let mut fleet = ControlFleet::new(1, 3, 4);
            for member in [0, 1, 2, 3, 4, 6] {
                fleet.start(member, &seeds, true);
            }
            compio::time::sleep(Duration::from_secs(3)).await;
            for replica in [0, 1, 2] {
                let status = fleet.status(replica).await.unwrap();
                assert_eq!(
                    status["voters"].as_array().unwrap().len(),
                    0,
                    "seeds {seeds:?}"
                );
            }
            fleet.start(5, &seeds, true);
            let all: Vec<usize> = (0..7).collect();
            fleet
                .replace_until_accepted(&all, &config(1, 500), RECOVERY_TIMEOUT)
                .await;
        }
    });
}

/// Guards against a change that is acknowledged while so few replicas vote that the tolerated losses take it.
#[test]
fn change_refused_until_enough_replicas_vote() {
    block_on(async {
        let mut fleet = ControlFleet::new(2, 5, 0);
        for replica in [0, 1, 2] {
            fleet.start(replica, &[0, 1, 2], true);
        }
        fleet.wait_for_voters(&[0, 1, 2], RECOVERY_TIMEOUT).await;
        let refused = fleet.replace_config(0, &config(1, 500)).await;
        assert!(
            refused.as_ref().is_err_and(|err| err.contains("503")),
            "{refused:?}"
        );
        fleet.start(3, &[0, 1, 2], true);
        fleet
            .replace_until_accepted(&[0], &config(2, 500), RECOVERY_TIMEOUT)
            .await;
    });
}

/// Guards against a second cluster that a seed founds after it has lost its disk, as the other seeds hold no replica.
#[test]
fn bootstrap_not_repeated_by_wiped_seed() {
    block_on(async {
        let mut fleet = ControlFleet::new(1, 3, 2);
        found(&mut fleet, &[0, 3, 4], &[0, 1, 2]).await;
        for _ in 0..3 {
            fleet.kill(0);
            fleet.wipe(0);
            fleet.start(0, &[0, 3, 4], true);
            fleet.wait_for_voters(&[0, 1, 2], RECOVERY_TIMEOUT).await;
            let all: Vec<usize> = (0..5).collect();
            fleet
                .wait_for_config(&all, &config(1, 500), RECOVERY_TIMEOUT)
                .await;
        }
    });
}

/// Guards against a `503` that comes later than the operator waits while no majority answers.
#[test]
fn call_refused_in_time_without_majority() {
    block_on(async {
        let mut fleet = ControlFleet::new(1, 3, 2);
        found(&mut fleet, &[0, 1, 2], &[0, 1, 2]).await;
        fleet.kill(0);
        fleet.kill(1);
        for member in [2, 3, 4] {
            // A busy machine may delay single calls.
            wait_for("a read that is refused in time", || async {
                let err = fleet.read_config(member).await.err()?;
                err.contains("503").then_some(())
            })
            .await;
            wait_for("a change that is refused in time", || async {
                let replaced = fleet.replace_config(member, &config(9, 500)).await;
                replaced.err()?.contains("503").then_some(())
            })
            .await;
        }
    });
}
