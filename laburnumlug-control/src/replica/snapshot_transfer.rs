//! Transfer of snapshots from the leader to a replica that lacks too much of the log.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::replication::SentMessage;
use super::{PeerReplica, Replica};
use crate::peer::{AppendResult, InstallRequest, LeaderHeader, PeerAnswer, PeerRequest};

/// Timeout for the answer to a snapshot chunk; after the last one the follower writes the whole snapshot.
const SNAPSHOT_CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a snapshot chunk.
const SNAPSHOT_CHUNK_BYTES: usize = 1024 * 1024;

impl Replica {
    /// Sends a snapshot of the applied state in chunks.
    pub(super) async fn send_snapshot(&self, peer: &PeerReplica, header: LeaderHeader) -> bool {
        let (index, bytes) = {
            let mut core = self.core.borrow_mut();
            (core.applied_index, core.snapshot())
        };
        let (started_at, len) = (Instant::now(), bytes.len());
        log::info!(
            "sending control replica {} a snapshot of {len} bytes",
            peer.name
        );
        let chunk_count = bytes.chunks(SNAPSHOT_CHUNK_BYTES).count();
        for (i, chunk) in bytes.chunks(SNAPSHOT_CHUNK_BYTES).enumerate() {
            let req = InstallRequest {
                header: header.clone(),
                index,
                offset: (i * SNAPSHOT_CHUNK_BYTES) as u64,
                bytes: chunk.to_vec(),
                is_last: i + 1 == chunk_count,
            };
            if !self.send_snapshot_chunk(peer.addr, &peer.name, req).await {
                return false;
            }
        }
        log::info!(
            replica = peer.name.as_str(), bytes = len,
            duration_ms = started_at.elapsed().as_millis() as u64;
            "a control replica has installed a snapshot"
        );
        true
    }

    async fn send_snapshot_chunk(&self, addr: SocketAddr, name: &str, req: InstallRequest) -> bool {
        let term = req.header.term;
        self.core.borrow_mut().record_sent(name, req.bytes.len());
        let sent = SentMessage {
            at: Instant::now(),
            commit: 0,
        };
        let request = PeerRequest::Install(req);
        let Ok(PeerAnswer::Append(answer)) =
            self.call_peer(addr, &request, SNAPSHOT_CHUNK_TIMEOUT).await
        else {
            return false;
        };
        if answer.term > term {
            self.observe_term(answer.term).await;
            return false;
        }
        let mut core = self.core.borrow_mut();
        if core.meta.term != term {
            return false;
        }
        match answer.result {
            AppendResult::NextIndex(_) => core.record_contact(name, sent.at),
            _ => core.record_append_answer(name, sent, &answer),
        }
        matches!(
            answer.result,
            AppendResult::NextIndex(_) | AppendResult::Matched(_)
        )
    }
}
