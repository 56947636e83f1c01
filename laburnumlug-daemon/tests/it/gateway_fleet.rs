//! Three control replicas and a gateway, with a proxy on each link between them, in front of stand-ins for servers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::client;
use crate::harness::{Fleet, FleetConfig, free_addr, wait_for};
use crate::platform_fleet::serve_changing_list;
use crate::standin::ServerStandIn;

/// Name of the gateway's process.
pub const GATEWAY: &str = "gateway-1";

/// Time without a response after which the platform's operator tries another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Processes whose platform lists targets that may change.
pub struct GatewayFleet {
    pub fleet: Fleet,
    pub gateway_addr: SocketAddr,
    list: Rc<RefCell<Value>>,
}

impl GatewayFleet {
    /// Starts all processes with these rows in the list of targets, and with further lines in the section `[gateway]`.
    pub async fn start(rows: Vec<Value>, gateway_lines: &str) -> GatewayFleet {
        GatewayFleet::start_with(FleetConfig::default(), rows, gateway_lines).await
    }

    /// Starts like [`GatewayFleet::start`], with further settings of the control replicas in `config`.
    pub async fn start_with(
        config: FleetConfig,
        rows: Vec<Value>,
        gateway_lines: &str,
    ) -> GatewayFleet {
        let list = Rc::new(RefCell::new(Value::Null));
        let list_addr = serve_changing_list(list.clone()).await;
        let config = config
            .control_replicas(3)
            .entries(0)
            .engines(0)
            .booking_servers(0)
            .extra_control_settings(&format!(
                "target_list = {list_addr}\nplatform_operator = yes"
            ));
        let gateway_addr = free_addr();
        let mut gateway_fleet = GatewayFleet {
            fleet: Fleet::start(config).await,
            gateway_addr,
            list,
        };
        gateway_fleet.set_rows(rows);
        let fleet = &mut gateway_fleet.fleet;
        let control_addrs = fleet.control_addrs.clone();
        let common = fleet.common_settings(GATEWAY, "z", &control_addrs).await;
        let settings = format!(
            "{common}[gateway]\nlisten = {gateway_addr}\nready = {}\nmesh_listen = {}\ntarget_list = {list_addr}\n{gateway_lines}\n",
            free_addr(),
            free_addr(),
        );
        fleet.start_process(GATEWAY, "gateway", &settings);
        gateway_fleet
    }

    /// Replaces the rows of the list of targets.
    pub fn set_rows(&self, rows: Vec<Value>) {
        *self.list.borrow_mut() = json!({ "instances": rows, "next": null });
    }

    /// Replaces the configuration of the platform; the operator turns to another replica after each failure.
    pub async fn replace_config(&self, config: &Value) {
        let text = config.to_string();
        let replicas = RefCell::new(self.fleet.operator_addrs.iter().cycle());
        wait_for("an accepted configuration", || async {
            let addr = *replicas.borrow_mut().next().unwrap();
            let replacing = client::post(addr, "/config/replace", &[], &text);
            let response = compio::time::timeout(OPERATOR_TIMEOUT, replacing).await;
            (response.ok()??.status == 200).then_some(())
        })
        .await;
    }

    /// Sends a request with further headers to the gateway, and returns the status.
    pub async fn send(&self, path: &str, headers: &[(&str, &str)]) -> Option<u16> {
        let mut headers = headers.to_vec();
        headers.extend([("host", "h.example"), ("x-request-id", "r-1")]);
        let response = client::post(self.gateway_addr, path, &headers, "body").await?;
        Some(response.status)
    }
}

/// Returns the row of a server in the list of targets.
pub fn row(id: &str, service: &str, server: &ServerStandIn) -> Value {
    row_at(id, service, server.addr())
}

/// Returns the row of a server at `addr` in the list of targets.
pub fn row_at(id: &str, service: &str, addr: SocketAddr) -> Value {
    let text = include_str!("../../../platform/tests/soak-row.json")
        .replace("INSTANCE", id)
        .replace("SERVICE", service)
        .replace("ADDRESS", &addr.to_string());
    serde_json::from_str(&text).unwrap()
}

/// Returns a configuration with this version, whose routes `safe` and `once` lead to the service `plain`.
pub fn config(version: u64) -> Value {
    let config = include_str!("../../../platform/tests/soak-config.json");
    let mut config: Value = serde_json::from_str(config).unwrap();
    config["version"] = json!(version);
    config
}
