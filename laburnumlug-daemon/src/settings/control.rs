//! Settings of a control replica.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use laburnumlug_control::{OperatorToken, OperatorTokens, PeerReplica, ReplicaConfig, UsageConfig};
use laburnumlug_mesh::ControlContact;
use laburnumlug_platform::Duty;

use super::common::{LogSettings, MeshSettings, ProcessSettings, read_metrics_addr};
use super::error::SettingsError;
use super::numbers::{
    parse_count, parse_megabytes, parse_millis_from_zero, parse_whole, parse_window,
};
use super::reader::{Reader, Section, parse_addr, parse_text, parse_yes_or_no};

/// Default minimum time between orders of two successive leaders.
const DEFAULT_HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Default time after the end of a window within which its usage report is due, if the platform's limits give only the window.
const DEFAULT_USAGE_LATE: Duration = Duration::from_secs(10);

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
        "disk_mb",
        "peers",
        "may_found",
        "losses",
        "target_list",
        "platform_operator",
        "order_turn_ms",
        "usage_window_s",
        "usage_late_s",
        "duties",
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
    /// Name of the replica in its cluster.
    pub(crate) name: String,
    /// Address on which the replica accepts mesh connections from other processes.
    pub(crate) listen: SocketAddr,
    /// Address on which the replica accepts connections from operators.
    pub(crate) operators: SocketAddr,
    /// Folder in which the replica stores its log and snapshots.
    pub(crate) data: PathBuf,
    /// Names and token hashes of the operators; if empty, every operator is refused.
    pub(crate) tokens: OperatorTokens,
    /// The other replicas; empty for a cluster of one.
    pub(crate) replicas: Vec<PeerReplica>,
    /// Whether `replicas` are seeds: control processes of which some may hold no replica, and which may not be all.
    pub(crate) has_seeds: bool,
    /// Whether one disk sync may cover several log entries.
    pub(crate) group_commit: bool,
    /// Number of log entries between two snapshots; `None` for the default.
    pub(crate) snapshot_entries: Option<usize>,
    /// Size of the disk that holds the data folder, in bytes; `None` if it is not known.
    pub(crate) disk_bytes: Option<u64>,
    /// Whether this replica may bootstrap a cluster.
    pub(crate) may_bootstrap: bool,
    /// Number of replicas whose simultaneous loss is tolerated, which determines the number of voters.
    pub(crate) tolerated_losses: Option<usize>,
    /// Address of the platform's list of live targets, which is read while this replica leads.
    pub(crate) target_list: Option<SocketAddr>,
    /// Whether the platform's operator interface is served too.
    pub(crate) platform_operator: bool,
    /// Minimum time between orders of two successive leaders to one engine.
    pub(crate) handover_time: Duration,
    /// Windows whose usage is reported to the platform while this replica leads; `None` if it is not.
    pub(crate) usage: Option<UsageConfig>,
    /// Whether numbers of targets are ordered from the platform while this replica leads.
    pub(crate) scaling: bool,
    /// Names of duties in the settings that this version does not know.
    pub(crate) unknown_duties: Vec<String>,
}

impl ControlSettings {
    /// Reads and validates the settings.
    pub(super) fn read(reader: &Reader) -> Result<ControlSettings, SettingsError> {
        let allowed_tokens = "NAME:SHA256 of each operator's token, separated by commas";
        let allowed_replicas = "NAME:IP:PORT of each other replica, separated by commas";
        let listen = reader.required("control", "listen", "IP:PORT", parse_addr)?;
        let mesh = MeshSettings::read(reader)?;
        let allowed_peers =
            "mesh, where the replicas are those of [mesh] control, named by their addresses";
        let address_peers = reader.optional("control", "peers", allowed_peers, |text| {
            (text == "mesh").then(|| peers_by_address(&mesh, listen))
        })?;
        let allowed_duties = "names of duties, separated by commas, or nothing";
        let (duties, unknown_duties) = reader
            .optional("control", "duties", allowed_duties, |text| {
                Some(parse_duties(text))
            })?
            .unwrap_or_default();
        let data: String =
            reader.required("control", "data", "the path of a folder", parse_text)?;
        Ok(ControlSettings {
            process: ProcessSettings::read(reader)?,
            log: LogSettings::read(reader)?,
            metrics: read_metrics_addr(reader)?,
            name: reader.required("control", "name", "the replica's name", parse_text)?,
            listen,
            operators: reader.required("control", "operators", "IP:PORT", parse_addr)?,
            data: PathBuf::from(data),
            tokens: OperatorTokens::new(
                reader
                    .optional("control", "tokens", allowed_tokens, parse_operator_tokens)?
                    .unwrap_or_default(),
            ),
            may_bootstrap: read_may_bootstrap(reader)?,
            has_seeds: address_peers.is_some(),
            replicas: match address_peers {
                Some(replicas) => replicas,
                None => reader
                    .optional("control", "replicas", allowed_replicas, parse_peer_replicas)?
                    .unwrap_or_default(),
            },
            mesh,
            tolerated_losses: reader
                .limit(
                    "control",
                    "losses",
                    "a whole number",
                    |text| parse_whole(text).map(Some),
                    None,
                )?
                .flatten(),
            target_list: reader.optional("control", "target_list", "IP:PORT", parse_addr)?,
            handover_time: reader
                .limit(
                    "control",
                    "order_turn_ms",
                    "a number of milliseconds from 0",
                    parse_millis_from_zero,
                    DEFAULT_HANDOVER_TIME,
                )?
                .unwrap_or(DEFAULT_HANDOVER_TIME),
            usage: read_usage(reader)?,
            scaling: duties.contains(&Duty::Scaling),
            unknown_duties,
            platform_operator: reader
                .optional("control", "platform_operator", "yes or no", parse_yes_or_no)?
                .unwrap_or(false),
            group_commit: reader
                .optional("control", "group_commit", "yes or no", parse_yes_or_no)?
                .unwrap_or(true),
            snapshot_entries: reader.optional(
                "control",
                "snapshot_entries",
                "a whole number from 1",
                parse_count,
            )?,
            disk_bytes: reader
                .limit(
                    "control",
                    "disk_mb",
                    "a number of megabytes above 0",
                    |text| parse_megabytes(text).map(Some),
                    None,
                )?
                .flatten(),
        })
    }

    /// Returns the configuration that [`Replica::open`](laburnumlug_control::Replica::open) needs.
    pub(crate) fn replica_config(&self) -> ReplicaConfig {
        let cfg = ReplicaConfig::new(&self.name, &self.data, self.mesh.key.clone())
            .peers(self.replicas.clone())
            .group_commit(self.group_commit)
            .may_bootstrap(self.may_bootstrap)
            .is_seed(!self.has_seeds || self.mesh.control.contains(&self.listen))
            .scaling(self.scaling && self.target_list.is_some());
        let cfg = match self.has_seeds {
            true => cfg.contact(ControlContact {
                mesh: self.listen,
                operators: self.operators,
                holds_replica: true,
            }),
            false => cfg,
        };
        let cfg = match self.usage {
            Some(usage) => cfg.usage(usage),
            None => cfg,
        };
        let cfg = match self.tolerated_losses {
            // With 2n + 1 voters, a majority remains after n losses.
            Some(losses) => cfg.voters(losses.saturating_mul(2).saturating_add(1)),
            None => cfg,
        };
        let cfg = match self.disk_bytes {
            Some(bytes) => cfg.disk_bytes(bytes),
            None => cfg,
        };
        match self.snapshot_entries {
            Some(entries) => cfg.snapshot_entries(entries as u64),
            None => cfg,
        }
    }
}

/// Reads the windows whose usage is reported; both settings or neither must be present.
fn read_usage(reader: &Reader) -> Result<Option<UsageConfig>, SettingsError> {
    let window = |key, substitute| {
        let allowed = "a number of seconds from 0.001";
        let parse = |text: &str| parse_window(text).map(Some);
        reader.limit("control", key, allowed, parse, substitute)
    };
    let late = window("usage_late_s", Some(DEFAULT_USAGE_LATE))?.flatten();
    let window = window("usage_window_s", None)?.flatten();
    let missing = |key| {
        let allowed = "both of usage_window_s and usage_late_s, or neither";
        reader.error_at("control", Some(key), "nothing".into(), allowed.into())
    };
    match (window, late) {
        (Some(window), Some(late)) => Ok(Some(UsageConfig { window, late })),
        (Some(window), None) => {
            reader.replace(missing("usage_late_s"))?;
            let late = DEFAULT_USAGE_LATE;
            Ok(Some(UsageConfig { window, late }))
        }
        (None, Some(_)) if !reader.has_key("control", "usage_window_s") => {
            reader.replace(missing("usage_window_s")).map(|()| None)
        }
        (None, _) => Ok(None),
    }
}

/// Reads whether this process may found a cluster, or agree to its founding.
///
/// A process that the platform does not tell whether the whole system starts for the first time must not: a second cluster
/// would lose what the first has acknowledged.
pub(super) fn read_may_bootstrap(reader: &Reader) -> Result<bool, SettingsError> {
    let default = !reader.is_rendered();
    let may_found = reader.limit("control", "may_found", "yes or no", parse_yes_or_no, false)?;
    Ok(may_found.unwrap_or(default))
}

/// Parses the duties that the platform lists; returns the known ones, and the names of the others.
fn parse_duties(text: &str) -> (Vec<Duty>, Vec<String>) {
    let names = text
        .split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty());
    let (known, unknown): (Vec<&str>, Vec<&str>) =
        names.partition(|name| Duty::from_name(name).is_some());
    let known = known.into_iter().filter_map(Duty::from_name);
    (
        known.collect(),
        unknown.into_iter().map(str::to_string).collect(),
    )
}

fn parse_operator_tokens(text: &str) -> Option<Vec<OperatorToken>> {
    text.split(',')
        .map(|item| {
            let (name, hex) = item.trim().split_once(':')?;
            OperatorToken::from_sha256_hex(name, hex)
        })
        .collect()
}

fn parse_peer_replicas(text: &str) -> Option<Vec<PeerReplica>> {
    text.split(',')
        .map(|item| {
            let (name, address) = item.trim().split_once(':')?;
            let name = name.to_string();
            let addr = parse_addr(address)?;
            Some(PeerReplica { name, addr })
        })
        .collect()
}

/// Returns the replicas in the mesh settings except the one at `own_addr`, named by their addresses.
fn peers_by_address(mesh: &MeshSettings, own_addr: SocketAddr) -> Vec<PeerReplica> {
    let others = mesh.control.iter().filter(|addr| **addr != own_addr);
    others
        .map(|addr| PeerReplica {
            name: addr.to_string(),
            addr: *addr,
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::*;

    /// A platform that lists duties which this version does not know, or none, must not keep the process from starting.
    #[test]
    fn parse_duties_unknown_and_empty() {
        let (known, unknown) = parse_duties("usage_report, backup,autoscale,");
        assert_eq!(known, [Duty::Usage, Duty::Scaling]);
        assert_eq!(unknown, ["backup"]);
        let text = "[control]\nduties = \nusage_late_s = 2\n".to_string();
        let reader = Reader::parse(Path::new("control.ini"), text, &[CONTROL], None).unwrap();
        let parse = |text: &str| Some(parse_duties(text));
        let duties = reader.optional("control", "duties", "", parse).unwrap();
        assert_eq!(duties, Some((Vec::new(), Vec::new())));
    }
}
