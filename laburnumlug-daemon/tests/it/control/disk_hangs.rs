//! Disks that answer nothing for a while; a pipe in the place of a temporary file keeps its write from ending.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use super::disk_faults::{
    others, put_changes, put_in_place, replicas, restart_all, temporary_path,
};
use super::full_disk::start_fleet;
use super::{
    Partition, copy_folder, partition_replica, put_until_accepted, put_until_accepted_by,
    replica_name, replica_version, voter_incarnation, wait_for_leader, wait_for_version,
};
use crate::harness::{Fleet, block_on, wait_for};

/// Time in which a replica starts an election, or a leader finds one that has reset its folder.
const HANG_TIME: Duration = Duration::from_secs(3);

/// Makes the replacement of a file hang until the returned pipe is opened for reading.
fn hang_file(fleet: &Fleet, replica: usize, file: &str) -> PathBuf {
    let pipe = temporary_path(fleet, replica, file);
    put_in_place(|| {
        let made = Command::new("mkfifo").arg(&pipe).output().unwrap();
        made.status.success()
    });
    pipe
}

/// Opens a pipe for reading, without waiting for its writer; the replacement that hangs goes on then, and fails.
fn open_pipe(pipe: &Path) -> File {
    File::options().read(true).write(true).open(pipe).unwrap()
}

/// Guards against a leader that stops changes, or does not take part again, as its disk does not answer for a while.
#[test]
fn disk_hangs_within_snapshot() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        put_until_accepted(&fleet, 0, "before").await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let incarnation = voter_incarnation(&fleet, leader).await;
        let pipe = hang_file(&fleet, leader, "snapshot");
        put_changes(&fleet, &[0, 1, 2], "first").await;
        let accepted = put_changes(&fleet, &others(3, leader), "second").await;
        let reader = open_pipe(&pipe);
        wait_for("the end of the write, which fails", || async {
            (!pipe.exists()).then_some(())
        })
        .await;
        drop(reader);
        assert_eq!(voter_incarnation(&fleet, leader).await, incarnation);
        wait_for_version(&fleet, leader, accepted).await;
        restart_all(&mut fleet, 3, accepted).await;
    });
}

/// Guards against replicas that elect no leader after their disks hung when they had to store a term or a vote.
#[test]
fn disk_hangs_within_vote() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let accepted = put_until_accepted(&fleet, 0, "before").await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let followers = others(3, leader);
        let pipes: Vec<PathBuf> = followers
            .iter()
            .map(|follower| hang_file(&fleet, *follower, "meta"))
            .collect();
        fleet.process(&replica_name(leader)).kill();
        compio::time::sleep(HANG_TIME).await;
        // One of them may hang only once the other one goes on.
        let _readers: Vec<File> = pipes.iter().map(|pipe| open_pipe(pipe)).collect();
        let (version, _) = put_until_accepted_by(&fleet, &followers, "after").await;
        assert!(version > accepted);
        fleet.restart_with_file_limits(&replica_name(leader));
        wait_for_version(&fleet, leader, version).await;
    });
}

/// Guards against a replica that joins its cluster with the log of another one, as its disk has not yet emptied the folder when
/// the process is killed.
#[test]
fn disk_hangs_within_reset_of_foreign_folder() {
    block_on(async {
        let mut fleet = start_fleet(replicas(3), 3).await;
        let foreign_fleet = Fleet::start(replicas(3)).await;
        put_changes(&foreign_fleet, &[0, 1, 2], "foreign").await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let victim = (leader + 1) % 3;
        let accepted = put_until_accepted(&fleet, leader, "own").await;
        let folder = fleet.folder.path().join(replica_name(victim));
        fleet.process(&replica_name(victim)).kill();
        copy_folder(
            &foreign_fleet.folder.path().join(replica_name(victim)),
            &folder,
        );
        // The folder is reset once the other replicas answer, at which time its journal cannot be replaced.
        partition_replica(&fleet, victim, Partition::Both);
        fleet.restart_with_file_limits(&replica_name(victim));
        wait_for("a replica that runs", || async {
            fleet.get_control_json(victim, "/status").await
        })
        .await;
        let pipe = hang_file(&fleet, victim, "log");
        partition_replica(&fleet, victim, Partition::None);
        compio::time::sleep(HANG_TIME).await;
        fleet.process(&replica_name(victim)).kill();
        std::fs::remove_file(pipe).unwrap();
        fleet.restart_with_file_limits(&replica_name(victim));
        voter_incarnation(&fleet, victim).await;
        wait_for_version(&fleet, victim, accepted).await;
        assert_eq!(replica_version(&fleet, victim).await, Some(accepted));
    });
}
