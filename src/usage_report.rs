//! Numbers of requests of customers, as gateways report them to the control replicas.

use std::collections::BTreeMap;

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
    /// Length of the windows in milliseconds.
    pub window_ms: u64,
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
