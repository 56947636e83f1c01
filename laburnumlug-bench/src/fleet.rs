//! Fleet of real processes in front of stand-in engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug_standin::{EngineStandIn, EngineTiming, TimingModel};
use serde_json::{Value, json};

use crate::client;
use crate::config::Config;
use crate::daemon::{Daemon, TempDir, unused_addr};
use crate::error::Error;
use crate::policy::BenchPolicy;

/// Mesh key shared by all processes of a run.
const MESH_KEY: &str = "bench-key";

/// Token with which the benchmark changes the fleet document.
const OPERATOR_TOKEN: &str = "dev";

/// SHA-256 of the operator token.
const OPERATOR_TOKEN_SHA256: &str =
    "ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567";

/// Availability zones, assigned round robin.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time limit for each step of the start-up.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which the fleet must stay ready before the load starts.
const STABLE_READY_TIME: Duration = Duration::from_secs(2);

/// Interval between readiness checks during start-up.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Name of the only service.
pub(crate) const SERVICE: &str = "skriver";

/// Name of the only model.
pub(crate) const MODEL: &str = "digest";

/// KV cache capacity of an engine, in pieces of 1,024 tokens.
const CAPACITY_PIECES: u64 = 64;

/// Running daemon processes and the stand-in engines behind their targets.
pub(crate) struct Fleet {
    temp_dir: TempDir,
    config: Config,
    pub(crate) engines: Vec<EngineStandIn>,
    /// Addresses at which the entries serve callers.
    pub(crate) entries: Vec<SocketAddr>,
    control_addr: SocketAddr,
    operator_addr: SocketAddr,
    metrics_addrs: Vec<SocketAddr>,
    processes: BTreeMap<String, Daemon>,
    document: Value,
    version: u64,
}

impl Fleet {
    /// Starts all processes and waits until every entry serves requests.
    pub(crate) async fn start(
        config: &Config,
        policy: &BenchPolicy,
        engines: usize,
    ) -> Result<Fleet, Error> {
        let mut fleet = Fleet {
            temp_dir: TempDir::create()?,
            config: config.clone(),
            engines: Vec::new(),
            entries: Vec::new(),
            control_addr: unused_addr(),
            operator_addr: unused_addr(),
            metrics_addrs: Vec::new(),
            processes: BTreeMap::new(),
            document: Value::Null,
            version: 0,
        };
        fleet.start_control()?;
        let mut targets = Vec::new();
        for engine in 0..engines {
            targets.push(fleet.start_engine(engine, policy).await?);
        }
        for entry in 0..config.entries {
            fleet.start_entry(entry)?;
        }
        fleet.document = json!({
            "name": "bench",
            "models": [{ "name": MODEL, "versions": ["1"] }],
            "services": [{
                "name": SERVICE, "kind": "engine", "models": [MODEL],
                "floors": { "prefill": 1, "decode": 1 }, "policy": policy.policy_section(),
            }],
            "targets": targets,
        });
        fleet.put_first_document().await?;
        fleet.wait_until_stable().await?;
        Ok(fleet)
    }

    /// Kills the target process of an engine.
    pub(crate) fn kill_target(&mut self, engine: usize) {
        if let Some(daemon) = self.processes.get_mut(&target_name(engine)) {
            daemon.kill();
        }
    }

    /// Marks the target of an engine as leaving in the fleet document.
    pub(crate) async fn mark_leaving(&mut self, engine: usize) -> Result<(), Error> {
        self.document["targets"][engine]["state"] = json!("leaving");
        self.put_document()
            .await
            .map_err(|err| Error::new("cannot mark a target as leaving", err))
    }

    /// Returns the number of mesh messages and bytes that the processes have sent so far, without those of processes
    /// whose metrics cannot be read.
    pub(crate) async fn traffic(&self) -> (u64, u64) {
        let mut totals = (0, 0);
        for addr in &self.metrics_addrs {
            let text = client::get_text(*addr, "/metrics")
                .await
                .unwrap_or_default();
            totals.0 += metric_sum(&text, "laburnumlug_mesh_messages_total");
            totals.1 += metric_sum(&text, "laburnumlug_mesh_bytes_total");
        }
        totals
    }

    async fn wait_until<F>(&mut self, unmet_condition: &str, mut is_met: F) -> Result<(), Error>
    where
        F: AsyncFnMut(&mut Fleet) -> bool,
    {
        let start = Instant::now();
        while !is_met(self).await {
            if start.elapsed() > START_TIMEOUT {
                return Err(Error::new("fleet start-up timed out", unmet_condition));
            }
            compio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until the fleet has been ready without interruption for [`STABLE_READY_TIME`].
    ///
    /// At start-up all processes report their version to the control log, and the cost of that must not be
    /// measured as part of the load.
    async fn wait_until_stable(&mut self) -> Result<(), Error> {
        let mut ready_since: Option<Instant> = None;
        self.wait_until("the entries are not ready", async |fleet| {
            let ready = fleet.is_ready().await;
            let since = ready_since.filter(|_| ready).or(ready.then(Instant::now));
            ready_since = since;
            since.is_some_and(|since| since.elapsed() >= STABLE_READY_TIME)
        })
        .await
    }

    /// Submits the first document, retrying until the control replica accepts it.
    async fn put_first_document(&mut self) -> Result<(), Error> {
        let mut refusal = String::new();
        let submission = self.wait_until(
            "the first fleet document is not accepted",
            async |fleet| match fleet.put_document().await {
                Ok(()) => true,
                Err(err) => {
                    refusal = err;
                    false
                }
            },
        );
        submission
            .await
            .map_err(|err| Error::new(&err.to_string(), refusal))
    }

    /// Submits the fleet document as the successor of the last accepted version.
    async fn put_document(&mut self) -> Result<(), String> {
        let key = format!("bench-{}", self.version + 1);
        let text = self.document.to_string();
        client::put_fleet(self.operator_addr, OPERATOR_TOKEN, self.version, &key, text).await?;
        self.version += 1;
        Ok(())
    }

    /// Returns whether every entry reports that it is healthy and completes a request.
    async fn is_ready(&mut self) -> bool {
        for entry in &self.entries {
            match client::get_text(*entry, "/health").await {
                Some(text) if text == "ok" => {}
                _ => return false,
            }
        }
        // Target processes receive the confirmation of the fleet document at the same pace as the entries.
        for entry in &self.entries {
            if !client::probe(*entry, MODEL).await {
                return false;
            }
        }
        true
    }

    fn common_settings(&mut self, name: &str, index: usize) -> String {
        let log_path = self.temp_dir.path().join(format!("{name}.log"));
        format!(
            "[process]\nvm = {name}\nzone = {}\n[log]\nlevel = warn\nfile = {}\n\
             [mesh]\nkey = {MESH_KEY}\ncontrol = {}\n",
            ZONES[index % ZONES.len()],
            log_path.display(),
            self.control_addr
        )
    }

    fn metrics_section(&mut self) -> String {
        let addr = unused_addr();
        self.metrics_addrs.push(addr);
        format!("[metrics]\nlisten = {addr}\n")
    }

    fn start_control(&mut self) -> Result<(), Error> {
        let common = self.common_settings("control-1", 0);
        let data_dir = self.temp_dir.path().join("control-1");
        let text = format!(
            "{common}[control]\nname = control-1\nlisten = {}\noperators = {}\ndata = {}\n\
             tokens = dev:{OPERATOR_TOKEN_SHA256}\n",
            self.control_addr,
            self.operator_addr,
            data_dir.display()
        );
        self.start_process("control-1", "control", &text)
    }

    async fn start_engine(&mut self, index: usize, policy: &BenchPolicy) -> Result<Value, Error> {
        let model = TimingModel::default()
            .kv_pieces(CAPACITY_PIECES)
            .time_compression(self.config.compression);
        let engine = EngineStandIn::start(unused_addr(), EngineTiming::model(model)).await;
        let engine = engine.map_err(|err| Error::new("cannot start a stand-in engine", err))?;
        engine.set_role(Instant::now(), policy.initial_role(index));
        let name = target_name(index);
        let listen = unused_addr();
        let text = format!(
            "{}{}[target]\nname = {name}\nlisten = {listen}\nkind = engine\npeer = {}\nslot = {}\n",
            self.common_settings(&name, index),
            self.metrics_section(),
            engine.addr(),
            unused_addr()
        );
        self.engines.push(engine);
        self.start_process(&name, "target", &text)?;
        Ok(json!({
            "name": name, "service": SERVICE, "zone": ZONES[index % ZONES.len()],
            "address": listen.to_string(), "state": "serving", "role": policy.initial_role(index),
            "models": [{ "model": MODEL, "version": "1" }], "capacity_pieces": CAPACITY_PIECES,
        }))
    }

    fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let name = format!("entry-{}", index + 1);
        let listen = unused_addr();
        let text = format!(
            "{}{}[entry]\nlisten = {listen}\n",
            self.common_settings(&name, index),
            self.metrics_section()
        );
        self.entries.push(listen);
        self.start_process(&name, "entry", &text)
    }

    fn start_process(&mut self, name: &str, role: &str, settings: &str) -> Result<(), Error> {
        let path = self.temp_dir.write(&format!("{name}.ini"), settings)?;
        let daemon = Daemon::start(&self.config.daemon, role, &path)?;
        self.processes.insert(name.to_string(), daemon);
        Ok(())
    }
}

fn target_name(engine: usize) -> String {
    format!("{SERVICE}-{}", engine + 1)
}

/// Returns the sum of all samples of a metric in the Prometheus text format.
fn metric_sum(text: &str, name: &str) -> u64 {
    text.lines()
        .filter(|line| {
            line.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with(['{', ' ']))
        })
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum::<f64>() as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn metric_sum_exact_name() {
        let text = "# HELP a_total x\na_total{b=\"c\"} 3\na_total_more 5\na_total 4\n";
        assert_eq!(metric_sum(text, "a_total"), 7);
    }
}
