//! A fleet of real processes around stand-in engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug_standin::{EngineStandIn, EngineTiming, TimingModel};
use serde_json::{Value, json};

use crate::client;
use crate::config::Config;
use crate::daemon::{Daemon, Folder, free_addr};
use crate::error::Error;
use crate::policy::BenchPolicy;

/// Key that all processes of a run share.
const MESH_KEY: &str = "bench-key";

/// Operator token.
const TOKEN: &str = "dev";

/// SHA-256 of the operator token.
const TOKEN_HASH: &str = "ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567";

/// Availability zones, in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// How long the start may take.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// How long the fleet must be ready before the load begins.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How often the start looks whether everything is ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// Name of the only service, and of its model.
pub(crate) const SERVICE: &str = "skriver";
pub(crate) const MODEL: &str = "digest";

/// Capacity of an engine in pieces of 1,024 tokens.
const CAPACITY_PIECES: u64 = 64;

/// A running fleet.
pub(crate) struct Fleet {
    folder: Folder,
    config: Config,
    pub(crate) engines: Vec<EngineStandIn>,
    /// Addresses of the entries for callers.
    pub(crate) entries: Vec<SocketAddr>,
    control: SocketAddr,
    operators: SocketAddr,
    metrics: Vec<SocketAddr>,
    processes: BTreeMap<String, Daemon>,
    document: Value,
    version: u64,
}

impl Fleet {
    /// Starts everything and waits until each entry takes work.
    pub(crate) async fn start(
        config: &Config,
        policy: &BenchPolicy,
        engines: usize,
    ) -> Result<Fleet, Error> {
        let mut fleet = Fleet {
            folder: Folder::create()?,
            config: config.clone(),
            engines: Vec::new(),
            entries: Vec::new(),
            control: free_addr(),
            operators: free_addr(),
            metrics: Vec::new(),
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
                "floors": { "prefill": 1, "decode": 1 }, "policy": policy.document(),
            }],
            "targets": targets,
        });
        fleet.put_first_document().await?;
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    /// Kills the target process of an engine.
    pub(crate) fn kill_target(&mut self, engine: usize) {
        if let Some(daemon) = self.processes.get_mut(&target_name(engine)) {
            daemon.kill();
        }
    }

    /// Declares an engine as leaving.
    pub(crate) async fn declare_leaving(&mut self, engine: usize) -> Result<(), Error> {
        self.document["targets"][engine]["state"] = json!("leaving");
        self.put_document()
            .await
            .map_err(|err| Error::new("leaving", err))
    }

    /// Returns the messages and bytes that the processes sent each other so far.
    pub(crate) async fn traffic(&self) -> (u64, u64) {
        let mut sum = (0, 0);
        for addr in &self.metrics {
            let text = client::get_text(*addr, "/metrics")
                .await
                .unwrap_or_default();
            sum.0 += metric(&text, "laburnumlug_mesh_messages_total");
            sum.1 += metric(&text, "laburnumlug_mesh_bytes_total");
        }
        sum
    }

    async fn wait_until<F>(&mut self, what: &str, mut done: F) -> Result<(), Error>
    where
        F: AsyncFnMut(&mut Fleet) -> bool,
    {
        let start = Instant::now();
        while !done(self).await {
            if start.elapsed() > START_TIMEOUT {
                return Err(Error::new("not ready", what));
            }
            compio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    /// Waits until the fleet has been ready for some time without a break.
    ///
    /// All processes report their version to the control log at the start; what that costs is no part of
    /// the load that is measured.
    async fn wait_until_settled(&mut self) -> Result<(), Error> {
        let mut ready_since: Option<Instant> = None;
        self.wait_until("the entries", async |fleet| {
            let ready = fleet.is_ready().await;
            let since = ready_since.filter(|_| ready).or(ready.then(Instant::now));
            ready_since = since;
            since.is_some_and(|since| since.elapsed() >= SETTLE_TIME)
        })
        .await
    }

    /// Puts the first document, as soon as the control replica takes it.
    async fn put_first_document(&mut self) -> Result<(), Error> {
        let mut refusal = String::new();
        let put = self.wait_until("the first fleet document", async |fleet| {
            match fleet.put_document().await {
                Ok(()) => true,
                Err(err) => {
                    refusal = err;
                    false
                }
            }
        });
        put.await
            .map_err(|err| Error::new(&err.to_string(), refusal))
    }

    /// Puts the document.
    async fn put_document(&mut self) -> Result<(), String> {
        let key = format!("bench-{}", self.version + 1);
        let text = self.document.to_string();
        client::put_fleet(self.operators, TOKEN, self.version, &key, text).await?;
        self.version += 1;
        Ok(())
    }

    /// Returns whether every engine has answered a request through some entry.
    async fn is_ready(&mut self) -> bool {
        for entry in &self.entries {
            match client::get_text(*entry, "/health").await {
                Some(text) if text == "ok" => {}
                _ => return false,
            }
        }
        // Confirmation reaches the target processes at the same pace as the entries.
        for entry in &self.entries {
            if !client::probe(*entry, MODEL).await {
                return false;
            }
        }
        true
    }

    fn common(&mut self, name: &str, index: usize) -> String {
        let log = self.folder.path().join(format!("{name}.log"));
        format!(
            "[process]\nvm = {name}\nzone = {}\n[log]\nlevel = warn\nfile = {}\n\
             [mesh]\nkey = {MESH_KEY}\ncontrol = {}\n",
            ZONES[index % ZONES.len()],
            log.display(),
            self.control
        )
    }

    fn metrics_section(&mut self) -> String {
        let addr = free_addr();
        self.metrics.push(addr);
        format!("[metrics]\nlisten = {addr}\n")
    }

    fn start_control(&mut self) -> Result<(), Error> {
        let common = self.common("control-1", 0);
        let data = self.folder.path().join("control-1");
        let text = format!(
            "{common}[control]\nname = control-1\nlisten = {}\noperators = {}\ndata = {}\n\
             tokens = dev:{TOKEN_HASH}\n",
            self.control,
            self.operators,
            data.display()
        );
        self.start_process("control-1", "control", &text)
    }

    async fn start_engine(&mut self, index: usize, policy: &BenchPolicy) -> Result<Value, Error> {
        let model = TimingModel::default()
            .kv_pieces(CAPACITY_PIECES)
            .time_compression(self.config.compression);
        let engine = EngineStandIn::start(free_addr(), EngineTiming::model(model)).await;
        let engine = engine.map_err(|err| Error::new("cannot start an engine", err))?;
        engine.set_role(Instant::now(), policy.role(index));
        let name = target_name(index);
        let listen = free_addr();
        let text = format!(
            "{}{}[target]\nname = {name}\nlisten = {listen}\nkind = engine\npeer = {}\nslot = {}\n",
            self.common(&name, index),
            self.metrics_section(),
            engine.addr(),
            free_addr()
        );
        self.engines.push(engine);
        self.start_process(&name, "target", &text)?;
        Ok(json!({
            "name": name, "service": SERVICE, "zone": ZONES[index % ZONES.len()],
            "address": listen.to_string(), "state": "serving", "role": policy.role(index),
            "models": [{ "model": MODEL, "version": "1" }], "capacity_pieces": CAPACITY_PIECES,
        }))
    }

    fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let name = format!("entry-{}", index + 1);
        let listen = free_addr();
        let text = format!(
            "{}{}[entry]\nlisten = {listen}\n",
            self.common(&name, index),
            self.metrics_section()
        );
        self.entries.push(listen);
        self.start_process(&name, "entry", &text)
    }

    fn start_process(&mut self, name: &str, role: &str, settings: &str) -> Result<(), Error> {
        let path = self.folder.write(&format!("{name}.ini"), settings)?;
        let daemon = Daemon::start(&self.config.daemon, role, &path)?;
        self.processes.insert(name.to_string(), daemon);
        Ok(())
    }
}

fn target_name(engine: usize) -> String {
    format!("{SERVICE}-{}", engine + 1)
}

/// Returns the sum of a metric's samples in the Prometheus text format.
fn metric(text: &str, name: &str) -> u64 {
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
    fn metric_exact_name() {
        let text = "# HELP a_total x\na_total{b=\"c\"} 3\na_total_more 5\na_total 4\n";
        assert_eq!(metric(text, "a_total"), 7);
    }
}
