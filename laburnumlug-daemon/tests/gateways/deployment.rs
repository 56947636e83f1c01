//! Control replicas and gateways of a run, and the servers behind them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use crate::answers::Manner;
use crate::control_fleet::ControlFleet;
use crate::harness::wait_for;
use crate::platform_fleet::{Gateway, readiness_status, serve_changing_list};
use crate::servers::{Identity, RunLog, Server};

/// Number of replicas that may be lost at once.
pub const TOLERATED_LOSSES: usize = 2;

/// Number of control processes that have a disk at the start.
pub const REPLICAS: usize = 2 * TOLERATED_LOSSES + 1;

/// Number of seeds in a settings file.
const SEEDS: usize = 3;

/// Grace periods of the gateways in turn, which all read the same target list.
const GRACE_PERIODS: [Duration; 3] = [
    Duration::from_secs(8),
    Duration::from_secs(8),
    Duration::from_secs(4),
];

/// Services and manners of the servers.
pub const SERVERS: [(&str, Manner); 9] = [
    ("plain", Manner::Sound),
    ("plain", Manner::Sound),
    ("plain", Manner::Slow),
    ("plain", Manner::Erratic),
    ("engines", Manner::Sound),
    ("engines", Manner::Sound),
    ("engines", Manner::Slow),
    ("engines", Manner::Erratic),
    ("engines", Manner::Erratic),
];

/// Versions of the servers' software; a server that is replaced may get the other one.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Numbers of processes at the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub control: usize,
}

/// Control processes with and without a replica, the gateways, and the servers behind them.
pub struct Deployment {
    pub control: ControlFleet,
    pub gateways: Vec<Gateway>,
    /// Control processes that each gateway's settings name.
    gateway_seeds: Vec<Vec<usize>>,
    servers: Vec<Server>,
    list: Rc<RefCell<Value>>,
    pub runs: RunLog,
    replaced: usize,
}

impl Deployment {
    /// Starts everything and waits until all gateways are ready. In half of the runs, the seeds are three replicas.
    pub async fn start(size: Size, rng: &mut StdRng) -> Deployment {
        let others = size.control - REPLICAS;
        let mut control = ControlFleet::new(TOLERATED_LOSSES, REPLICAS, others);
        let seeds = match rng.random_ratio(1, 2) {
            true => (0..SEEDS).collect(),
            false => draw_seeds(&control, rng),
        };
        for member in control.present() {
            control.start(member, &seeds, true);
        }
        let runs = RunLog::default();
        let list = Rc::new(RefCell::new(
            json!({ "instances": vec![Value::Null; SERVERS.len()], "next": null }),
        ));
        let mut servers = Vec::new();
        for (i, (service, manner)) in SERVERS.into_iter().enumerate() {
            let identity = Identity {
                instance: format!("i-{i}"),
                version: VERSIONS[i % 2],
                manner,
            };
            let server = Server::start(identity, &runs);
            list.borrow_mut()["instances"][i] = row(&server, service);
            servers.push(server);
        }
        let list_addr = serve_changing_list(list.clone()).await;
        let seed_addrs = control.mesh_addrs(&seeds);
        let gateways = (0..size.gateways).map(|i| {
            let name = format!("g-{i}");
            let grace = grace_period(i);
            Gateway::start_with_grace(&control.folder, &name, list_addr, &seed_addrs, grace)
        });
        let deployment = Deployment {
            gateways: gateways.collect(),
            gateway_seeds: vec![seeds; size.gateways],
            control,
            servers,
            list,
            runs,
            replaced: 0,
        };
        let first: Value = serde_json::from_str(&config(1)).unwrap();
        let present = deployment.control.present();
        let timeout = Duration::from_secs(30);
        let accepted = deployment
            .control
            .replace_until_accepted(&present, &first, timeout);
        accepted.await;
        deployment.wait_until_ready().await;
        deployment
    }

    /// Waits until `/ready` returns status 200 at every gateway.
    async fn wait_until_ready(&self) {
        for gateway in &self.gateways {
            wait_for("a ready gateway", || async {
                (readiness_status(gateway.ready_addr).await? == 200).then_some(())
            })
            .await;
        }
    }

    /// Starts a control process, with the seeds of before or with others.
    pub fn start_control(&mut self, member: usize, rng: &mut StdRng) {
        let kept = self.control.members[member].seeds.clone();
        let seeds = self.next_seeds(kept, rng);
        self.control.start(member, &seeds, false);
    }

    /// Restarts a gateway, with the seeds of before or with others.
    pub fn restart_gateway(&mut self, gateway: usize, rng: &mut StdRng) {
        let kept = self.gateway_seeds[gateway].clone();
        let seeds = self.next_seeds(kept, rng);
        self.set_gateway_seeds(gateway, seeds);
        self.gateways[gateway].restart(&self.control.folder);
    }

    /// Writes other seeds to the settings of a gateway.
    pub fn change_gateway_seeds(&mut self, gateway: usize, rng: &mut StdRng) {
        self.set_gateway_seeds(gateway, draw_seeds(&self.control, rng));
    }

    /// Writes other seeds to the settings of a control process.
    pub fn change_control_seeds(&mut self, member: usize, rng: &mut StdRng) {
        let seeds = draw_seeds(&self.control, rng);
        self.control.write_settings(member, &seeds, false);
        self.control.members[member].seeds = seeds;
    }

    fn set_gateway_seeds(&mut self, gateway: usize, seeds: Vec<usize>) {
        let addrs = self.control.mesh_addrs(&seeds);
        self.gateways[gateway].change_seeds(&self.control.folder, &addrs);
        self.gateway_seeds[gateway] = seeds;
    }

    /// Returns `kept` or other seeds; the settings of a process that starts name one at least that will serve.
    fn next_seeds(&self, kept: Vec<usize>, rng: &mut StdRng) -> Vec<usize> {
        let may_keep = kept.iter().any(|i| !self.control.members[*i].is_removed);
        match rng.random_ratio(1, 2) {
            true if may_keep => kept,
            _ => draw_seeds(&self.control, rng),
        }
    }

    /// Lists a server as draining.
    pub fn drain_server(&mut self, server: usize) {
        self.list.borrow_mut()["instances"][server]["state"] = json!("draining");
        self.servers[server].leave();
    }

    /// Ends a server and starts another one in its place, whose version changes in turn.
    pub fn replace_server(&mut self, server: usize) {
        self.replaced += 1;
        let (service, manner) = SERVERS[server];
        let identity = Identity {
            instance: format!("i-{server}-{}", self.replaced),
            version: VERSIONS[self.replaced % 2],
            manner,
        };
        self.servers[server] = Server::start(identity, &self.runs);
        self.list.borrow_mut()["instances"][server] = row(&self.servers[server], service);
    }

    /// Returns the addresses of the gateways for callers.
    pub fn gateway_addrs(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.caller_addr)
            .collect()
    }
}

/// Returns the grace period of a gateway.
pub fn grace_period(gateway: usize) -> Duration {
    GRACE_PERIODS[gateway % GRACE_PERIODS.len()]
}

/// Draws seeds among the control processes that run, or that will be started again if too few run.
fn draw_seeds(control: &ControlFleet, rng: &mut StdRng) -> Vec<usize> {
    let running = control.running();
    let candidates = match running.len() >= SEEDS {
        true => running,
        false => control.present(),
    };
    candidates.choose_multiple(rng, SEEDS).copied().collect()
}

/// Returns the entry of a server in the target list.
fn row(server: &Server, service: &str) -> Value {
    let text = include_str!("../../../platform/tests/soak-row.json")
        .replace("INSTANCE", &server.identity.instance)
        .replace("SERVICE", service)
        .replace("ADDRESS", &server.addr.to_string());
    let mut row: Value = serde_json::from_str(&text).unwrap();
    row["version"] = json!(server.identity.version);
    row
}

/// Returns the configuration with this version, from a template in the platform crate's tests.
///
/// It has a route for itself and for each version before, which shows whether a gateway obeys it, and one that no other version has.
pub fn config(version: u64) -> String {
    let text = include_str!("../../../platform/tests/gateways-config.json");
    let mut config: Value = serde_json::from_str(text).unwrap();
    config["version"] = json!(version);
    let routes = config["routes"].as_array_mut().unwrap();
    let template = routes[0].clone();
    let mut add = |kind: &str, version: u64| {
        let mut route = template.clone();
        route["name"] = json!(format!("{kind}-{version}"));
        route["pathPrefix"] = json!(format!("/{kind}/{version}/"));
        routes.push(route);
    };
    (1..=version).for_each(|older| add("v", older));
    add("only", version);
    config.to_string()
}
