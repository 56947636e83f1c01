//! Disks that fail at one stage: a snapshot, its transfer, a vote, a start, a sync, a change of the voters.
//!
//! A folder in the place of a temporary file keeps the file that it replaces from being written.

use std::os::unix::fs::symlink;
use std::path::PathBuf;
use std::time::Duration;

use super::full_disk::{journal_path, start_fleet, wait_until_not_voter};
use super::{
    document_named, put_until_accepted, put_until_accepted_by, replica_name, replica_version,
    three_replicas, voter_incarnation, wait_for_leader, wait_for_version,
};
use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

/// Number of log entries between two snapshots, so that some changes take one.
const SNAPSHOT_ENTRIES: usize = 4;

pub(super) fn temporary_path(fleet: &Fleet, replica: usize, file: &str) -> PathBuf {
    let folder = fleet.folder.path().join(replica_name(replica));
    folder.join(format!("{file}.new"))
}

/// Calls `create` until it succeeds: the replica may be writing the temporary file.
pub(super) fn put_in_place<F>(create: F)
where
    F: Fn() -> bool,
{
    for _ in 0..1000 {
        if create() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("a temporary file stays");
}

fn block_file(fleet: &Fleet, replica: usize, file: &str) {
    let folder = temporary_path(fleet, replica, file).join("full");
    put_in_place(|| std::fs::create_dir_all(&folder).is_ok());
}

fn unblock_file(fleet: &Fleet, replica: usize, file: &str) {
    std::fs::remove_dir_all(temporary_path(fleet, replica, file)).unwrap();
}

pub(super) fn replicas(count: usize) -> FleetConfig {
    three_replicas()
        .control_replicas(count)
        .snapshot_entries(SNAPSHOT_ENTRIES)
}

/// Returns all replicas but one.
pub(super) fn others(count: usize, replica: usize) -> Vec<usize> {
    (0..count).filter(|other| *other != replica).collect()
}

pub(super) async fn put_changes(fleet: &Fleet, among: &[usize], what: &str) -> u64 {
    let mut accepted = 0;
    for change in 0..2 * SNAPSHOT_ENTRIES {
        let name = format!("{what}, change {change}");
        accepted = put_until_accepted_by(fleet, among, &name).await.0;
    }
    accepted
}

/// Restarts all replicas at once, and waits until each has the version from its folder.
pub(super) async fn restart_all(fleet: &mut Fleet, count: usize, version: u64) {
    for replica in 0..count {
        fleet.process(&replica_name(replica)).kill();
    }
    for replica in 0..count {
        fleet.restart_with_file_limits(&replica_name(replica));
    }
    for replica in 0..count {
        wait_for_version(fleet, replica, version).await;
    }
}

/// Guards against replicas that stay silent after their disks were full within a snapshot or a compaction.
#[test]
fn disk_full_within_compaction() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let mut accepted = 0;
        for (round, file) in ["snapshot", "log", "snapshot"].into_iter().enumerate() {
            let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
            let victim = (leader + round) % 3;
            let incarnation = voter_incarnation(&fleet, victim).await;
            block_file(&fleet, victim, file);
            let among = others(3, victim);
            accepted = put_changes(&fleet, &among, &format!("{file} in round {round}")).await;
            wait_until_not_voter(&fleet, victim).await;
            unblock_file(&fleet, victim, file);
            assert_eq!(voter_incarnation(&fleet, victim).await, incarnation);
            wait_for_version(&fleet, victim, accepted).await;
        }
        restart_all(&mut fleet, 3, accepted).await;
    });
}

/// Guards against a replica that never votes again after its disk was full while it installed a snapshot.
#[test]
fn disk_full_within_install() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let victim = (leader + 1) % 3;
        for is_lost in [false, true] {
            let incarnation = voter_incarnation(&fleet, victim).await;
            fleet.process(&replica_name(victim)).kill();
            let among = others(3, victim);
            put_changes(&fleet, &among, &format!("disk lost: {is_lost}")).await;
            if is_lost {
                let folder = fleet.folder.path().join(replica_name(victim));
                std::fs::remove_dir_all(folder).unwrap();
            }
            // The process may have been killed while it wrote the file.
            let _ = std::fs::remove_file(temporary_path(&fleet, victim, "snapshot"));
            block_file(&fleet, victim, "snapshot");
            fleet.restart_with_file_limits(&replica_name(victim));
            wait_until_not_voter(&fleet, victim).await;
            let accepted = put_changes(&fleet, &among, &format!("blocked: {is_lost}")).await;
            unblock_file(&fleet, victim, "snapshot");
            let restored = voter_incarnation(&fleet, victim).await;
            assert_eq!(restored != incarnation, is_lost);
            wait_for_version(&fleet, victim, accepted).await;
        }
    });
}

/// Guards against replicas that elect no leader after their disks were full when they had to store a term or a vote.
#[test]
fn disk_full_within_vote() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let accepted = put_until_accepted(&fleet, 0, "before").await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let followers = others(3, leader);
        for follower in &followers {
            block_file(&fleet, *follower, "meta");
        }
        fleet.process(&replica_name(leader)).kill();
        // The replica that campaigns cannot store its vote.
        wait_for("a replica without a vote", || async {
            for follower in &followers {
                let status = fleet.get_control_json(*follower, "/status").await?;
                if !status["is_voter"].as_bool()? {
                    return Some(());
                }
            }
            None
        })
        .await;
        for follower in &followers {
            unblock_file(&fleet, *follower, "meta");
        }
        let (version, _) = put_until_accepted_by(&fleet, &followers, "after").await;
        assert!(version > accepted);
        fleet.restart_with_file_limits(&replica_name(leader));
        wait_for_version(&fleet, leader, version).await;
    });
}

/// Guards against a replica that does not take part again if its disk was full when its process started, also with the torn
/// end of an append and the half of a file that was to replace another one.
#[test]
fn disk_full_at_start() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        for victim in [(leader + 1) % 3, leader] {
            let incarnation = voter_incarnation(&fleet, victim).await;
            fleet.process(&replica_name(victim)).kill();
            let path = journal_path(&fleet, victim);
            let mut journal = std::fs::read(&path).unwrap();
            let half = journal[..journal.len() / 2].to_vec();
            std::fs::write(temporary_path(&fleet, victim, "log"), half).unwrap();
            journal.extend_from_slice(b"torn write");
            std::fs::write(&path, journal).unwrap();
            fleet.restart_with_full_disk(&replica_name(victim));
            let among = others(3, victim);
            put_changes(&fleet, &among, &format!("full at start: {victim}")).await;
            wait_until_not_voter(&fleet, victim).await;
            fleet.process(&replica_name(victim)).limit_file_size(None);
            assert_eq!(voter_incarnation(&fleet, victim).await, incarnation);
            let accepted = put_until_accepted(&fleet, victim, "room").await;
            restart_all(&mut fleet, 3, accepted).await;
        }
    });
}

/// Guards against a change that is refused for good because all disks were full when it was sent first.
#[test]
fn disk_full_change_sent_again() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let accepted = put_until_accepted(&fleet, 0, "before").await;
        for replica in 0..3 {
            wait_for_version(&fleet, replica, accepted).await;
            fleet
                .process(&replica_name(replica))
                .limit_file_size(Some(0));
        }
        let document = document_named(&fleet, "sent again");
        let put = || fleet.put_document(0, accepted, "sent again", &document);
        for _ in 0..3 {
            let (status, body) = put().await.unwrap();
            assert!(status >= 500, "{status}: {body}");
        }
        for replica in 0..3 {
            fleet.processes[&replica_name(replica)].limit_file_size(None);
        }
        let version = wait_for("the same change", || async {
            let (status, body) = put().await?;
            assert!(status == 200 || status >= 500, "{status}: {body}");
            (status == 200).then(|| body["version"].as_u64().unwrap())
        })
        .await;
        assert_eq!(version, accepted + 1);
        let (status, body) = put().await.unwrap();
        assert_eq!((status, &body["version"]), (200, &version.into()));
    });
}

/// Guards against changes that stop for good after disks were full in turn, twice at the leader, with a process killed
/// during each of the faults.
async fn disk_full_in_turn_with_kills(count: usize) {
    let mut fleet = start_fleet(replicas(count), count).await;
    let all = others(count, count);
    let mut accepted = 0;
    for round in 0..4 {
        let leader = wait_for_leader(&fleet, &all).await;
        let victim = match round {
            1 | 2 => leader,
            _ => (leader + 1) % count,
        };
        let killed = (victim + 2) % count;
        for replica in [victim, killed] {
            voter_incarnation(&fleet, replica).await;
        }
        fleet
            .process(&replica_name(victim))
            .limit_file_size(Some(0));
        fleet.process(&replica_name(killed)).kill();
        let among: Vec<usize> = others(count, victim)
            .into_iter()
            .filter(|replica| *replica != killed)
            .collect();
        accepted = put_changes(&fleet, &among, &format!("round {round}")).await;
        fleet.restart_with_file_limits(&replica_name(killed));
        wait_until_not_voter(&fleet, victim).await;
        fleet.process(&replica_name(victim)).limit_file_size(None);
    }
    restart_all(&mut fleet, count, accepted).await;
    for replica in 0..count {
        voter_incarnation(&fleet, replica).await;
    }
}

/// See [`disk_full_in_turn_with_kills`].
#[test]
fn disk_full_in_turn_of_five() {
    block_on(disk_full_in_turn_with_kills(5));
}

/// See [`disk_full_in_turn_with_kills`].
#[test]
fn disk_full_in_turn_of_seven() {
    block_on(disk_full_in_turn_with_kills(7));
}

/// Guards against a replica with a lost disk that is never added as a voter, as the leader's disk is full meanwhile.
#[test]
fn disk_full_within_membership_change() {
    block_on(async {
        let mut fleet = start_fleet(replicas(5), 5).await;
        let all = others(5, 5);
        for round in 0..2 {
            let leader = wait_for_leader(&fleet, &all).await;
            let lost = (leader + 1) % 5;
            let incarnation = voter_incarnation(&fleet, lost).await;
            let accepted = put_until_accepted(&fleet, leader, &format!("before {round}")).await;
            fleet.process(&replica_name(lost)).kill();
            std::fs::remove_dir_all(fleet.folder.path().join(replica_name(lost))).unwrap();
            fleet.restart_with_file_limits(&replica_name(lost));
            wait_for(
                "a change of the voters, or the moment before it",
                || async {
                    let status = fleet.get_control_json(leader, "/status").await?;
                    let is_removed = status["voters"].as_array()?.len() == 4;
                    let version = replica_version(&fleet, lost).await;
                    (is_removed || version.is_some()).then_some(())
                },
            )
            .await;
            fleet
                .process(&replica_name(leader))
                .limit_file_size(Some(0));
            let among = others(5, leader);
            put_changes(&fleet, &among, &format!("during {round}")).await;
            fleet.process(&replica_name(leader)).limit_file_size(None);
            assert_ne!(voter_incarnation(&fleet, lost).await, incarnation);
            voter_incarnation(&fleet, leader).await;
            wait_for_version(&fleet, lost, accepted + 1).await;
        }
    });
}

/// Guards against a replica that relies on a file whose sync has failed.
#[test]
fn disk_sync_failed() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let mut accepted = put_until_accepted(&fleet, 0, "before").await;
        for file in ["snapshot", "log"] {
            let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
            // Writes to the null device succeed, and its sync fails.
            let paths = [0, 1, 2].map(|replica| temporary_path(&fleet, replica, file));
            put_in_place(|| symlink("/dev/null", &paths[leader]).is_ok());
            accepted = put_changes(&fleet, &others(3, leader), file).await;
            wait_for_version(&fleet, leader, accepted).await;
            assert!(!paths[leader].is_symlink(), "the sync did not fail");
            voter_incarnation(&fleet, leader).await;
        }
        restart_all(&mut fleet, 3, accepted).await;
    });
}
