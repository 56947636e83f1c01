//! Settings of a control replica.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use laburnumlug_control::{OperatorToken, OperatorTokens, PeerReplica, ReplicaConfig};

use super::common::{
    LOG, LogSettings, MESH, METRICS, MeshSettings, PROCESS, ProcessSettings, metrics_listen,
};
use super::error::SettingsError;
use super::reader::{Reader, Section, addr, count, millis, text};

/// Time between orders of two leaders where the settings name none.
const DEFAULT_ORDER_TURN: Duration = Duration::from_secs(3);

pub(super) const CONTROL: Section = Section {
    name: "control",
    keys: &[
        "name",
        "listen",
        "operators",
        "data",
        "tokens",
        "replicas",
        "group_commit",
        "snapshot_entries",
        "peers",
        "may_found",
        "losses",
        "target_list",
        "platform_operator",
        "order_turn_ms",
        "others",
    ],
};

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub(crate) struct ControlSettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    pub(crate) mesh: MeshSettings,
    pub(crate) metrics: Option<SocketAddr>,
    /// Name of the replica.
    pub(crate) name: String,
    /// Address for the system's own processes.
    pub(crate) listen: SocketAddr,
    /// Address for operators.
    pub(crate) operators: SocketAddr,
    /// Data folder.
    pub(crate) data: PathBuf,
    /// Operators and the hashes of their tokens; without any, the interface to operators admits nobody.
    pub(crate) tokens: OperatorTokens,
    /// The other replicas; none for a cluster of one.
    pub(crate) replicas: Vec<PeerReplica>,
    /// Whether one sync may carry many log entries.
    pub(crate) group_commit: bool,
    /// Number of log entries between two snapshots, where it is not the default.
    pub(crate) snapshot_entries: Option<usize>,
    /// Whether this replica may found a cluster.
    pub(crate) may_found: bool,
    /// Replicas that may be lost at once; it decides the number of voters.
    pub(crate) losses: Option<usize>,
    /// The platform's list of live targets, read while this replica leads.
    pub(crate) target_list: Option<SocketAddr>,
    /// Whether the platform's operator calls, too.
    pub(crate) platform_operator: bool,
    /// Time in which orders of two leaders to one engine may not follow each other.
    pub(crate) order_turn: Duration,
}

impl ControlSettings {
    /// Reads and checks a file.
    pub(crate) fn read(path: &Path) -> Result<ControlSettings, SettingsError> {
        let reader = Reader::open(path, &[PROCESS, LOG, MESH, METRICS, CONTROL])?;
        let tokens = "NAME:SHA256 of each operator's token, separated by commas";
        let replicas = "NAME:IP:PORT of each other replica, separated by commas";
        let listen = reader.required("control", "listen", "IP:PORT", addr)?;
        let mesh = MeshSettings::read(&reader)?;
        let peers =
            "mesh, where the replicas are those of [mesh] control, named by their addresses";
        let by_address = reader.optional("control", "peers", peers, |text| {
            (text == "mesh").then(|| address_peers(&mesh, listen))
        })?;
        let losses = "a whole number";
        let data: String = reader.required("control", "data", "the path of a folder", text)?;
        Ok(ControlSettings {
            process: ProcessSettings::read(&reader)?,
            log: LogSettings::read(&reader)?,
            metrics: metrics_listen(&reader)?,
            name: reader.required("control", "name", "the replica's name", text)?,
            listen,
            operators: reader.required("control", "operators", "IP:PORT", addr)?,
            data: PathBuf::from(data),
            tokens: OperatorTokens::new(
                reader
                    .optional("control", "tokens", tokens, operator_tokens)?
                    .unwrap_or_default(),
            ),
            may_found: reader
                .optional("control", "may_found", "yes or no", yes_or_no)?
                .unwrap_or(true)
                && by_address
                    .as_ref()
                    .is_none_or(|_| mesh.control.contains(&listen)),
            replicas: match by_address {
                Some(replicas) => replicas,
                None => reader
                    .optional("control", "replicas", replicas, peer_replicas)?
                    .unwrap_or_default(),
            },
            mesh,
            losses: reader.optional("control", "losses", losses, |text| text.parse().ok())?,
            target_list: reader.optional("control", "target_list", "IP:PORT", addr)?,
            order_turn: reader
                .optional("control", "order_turn_ms", "a whole number from 1", millis)?
                .unwrap_or(DEFAULT_ORDER_TURN),
            platform_operator: reader
                .optional("control", "platform_operator", "yes or no", yes_or_no)?
                .unwrap_or(false),
            group_commit: reader
                .optional("control", "group_commit", "yes or no", yes_or_no)?
                .unwrap_or(true),
            snapshot_entries: reader.optional(
                "control",
                "snapshot_entries",
                "a whole number from 1",
                count,
            )?,
        })
    }

    /// Returns the configuration of the replica.
    pub(crate) fn replica_config(&self) -> ReplicaConfig {
        let cfg = ReplicaConfig::new(&self.name, &self.data, self.mesh.key.clone())
            .peers(self.replicas.clone())
            .group_commit(self.group_commit)
            .may_found(self.may_found);
        let cfg = match self.losses {
            // With 2n + 1 voters, a majority is left after n losses.
            Some(losses) => cfg.voters(2 * losses + 1),
            None => cfg,
        };
        match self.snapshot_entries {
            Some(entries) => cfg.snapshot_entries(entries as u64),
            None => cfg,
        }
    }
}

fn operator_tokens(text: &str) -> Option<Vec<OperatorToken>> {
    text.split(',')
        .map(|item| {
            let (name, hex) = item.trim().split_once(':')?;
            OperatorToken::from_sha256_hex(name, hex)
        })
        .collect()
}

fn peer_replicas(text: &str) -> Option<Vec<PeerReplica>> {
    text.split(',')
        .map(|item| {
            let (name, address) = item.trim().split_once(':')?;
            let name = name.to_string();
            let addr = addr(address)?;
            Some(PeerReplica { name, addr })
        })
        .collect()
}

/// Returns the replicas of the mesh settings but the one at `own`, named by their addresses.
fn address_peers(mesh: &MeshSettings, own: SocketAddr) -> Vec<PeerReplica> {
    let others = mesh.control.iter().filter(|addr| **addr != own);
    others
        .map(|addr| PeerReplica {
            name: addr.to_string(),
            addr: *addr,
        })
        .collect()
}

fn yes_or_no(text: &str) -> Option<bool> {
    match text {
        "yes" | "true" => Some(true),
        "no" | "false" => Some(false),
        _ => None,
    }
}
