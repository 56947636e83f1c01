//! Numbers of requests of customers, as gateways report them to the control replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{CustomerName, Incarnation, WindowNumber};

/// Number of requests of each customer.
pub type CustomerCounts = BTreeMap<CustomerName, u64>;

/// Numbers of requests that one gateway has counted, those that changed since its previous report.
///
/// The numbers are totals of the gateway's incarnation, so that a report that arrives twice or late changes nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Random number of the gateway process, different after each restart.
    pub sender: Incarnation,
    /// Length of the windows in whole milliseconds.
    pub window_ms: u64,
    /// Nanoseconds by which the windows are longer. Windows are numbered from 1970, so that a small difference of their length
    /// gives other numbers.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub window_ns: u32,
    /// Unix time of sending as the gateway estimates it, in milliseconds; `None` until it can.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_ms: Option<u64>,
    /// Unix time in milliseconds up to which this and the earlier reports include all requests that began to run; `None`
    /// if a further report is needed for that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counted_until_ms: Option<u64>,
    /// Totals by window.
    pub counts: BTreeMap<WindowNumber, CustomerCounts>,
}

impl UsageReport {
    /// Returns the length of the windows.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms) + Duration::from_nanos(u64::from(self.window_ns))
    }

    /// Sets the length of the windows.
    pub fn set_window(&mut self, window: Duration) {
        self.window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        self.window_ns = window.subsec_nanos() % 1_000_000;
    }
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
