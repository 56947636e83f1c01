//! Configuration of a forwarder.

use std::time::Duration;

use laburnumlug::ZoneName;

/// Share of the configured retry slack that gateways use; restarted gateways have lost count of their earlier retries.
const RETRY_SLACK_SHARE: f64 = 0.5;

/// Maximum number of retries per window that one gateway may make beyond the ratio to its requests.
const MAX_RETRY_SLACK_PER_GATEWAY: f64 = 2.0;

/// Configuration of a [`Forwarder`](crate::Forwarder).
#[derive(Clone, Debug)]
pub struct ForwardConfig {
    pub(crate) zone: ZoneName,
    pub(crate) limits: ForwardLimits,
}

/// Limits in a [`ForwardConfig`], which may change while the forwarder runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ForwardLimits {
    pub(crate) retry_ratio: f64,
    pub(crate) retry_window: Duration,
    retry_slack: f64,
    pub(crate) max_key_age: Option<Duration>,
    pub(crate) max_route_age: Option<Duration>,
}

impl ForwardConfig {
    /// Creates the configuration of a gateway in an availability zone.
    pub fn new(zone: &str) -> ForwardConfig {
        ForwardConfig {
            zone: zone.to_string(),
            limits: ForwardLimits {
                retry_ratio: 0.1,
                retry_window: Duration::from_secs(10),
                retry_slack: 0.0,
                max_key_age: None,
                max_route_age: None,
            },
        }
    }

    /// Sets the allowed ratio of retries to requests within a sliding window.
    pub fn retry_budget(mut self, ratio: f64, window: Duration) -> ForwardConfig {
        self.limits.retry_ratio = ratio;
        self.limits.retry_window = window;
        self
    }

    /// Sets how many retries beyond that ratio all gateways together may make within the window.
    pub fn retry_slack(mut self, retries: f64) -> ForwardConfig {
        self.limits.retry_slack = retries;
        self
    }

    /// Sets the age of the last confirmation of the routes up to which API keys may be accepted; without one, any age.
    pub fn max_key_age(mut self, age: Option<Duration>) -> ForwardConfig {
        self.limits.max_key_age = age;
        self
    }

    /// Sets the age of the last confirmation of the routes up to which they are obeyed in any case; without one, they always are.
    ///
    /// Beyond it, the [`ControlContact`](laburnumlug_policy::ControlContact) decides.
    pub fn max_route_age(mut self, age: Option<Duration>) -> ForwardConfig {
        self.limits.max_route_age = age;
        self
    }
}

impl ForwardLimits {
    /// Returns the part of the retry slack that one of `gateway_count` gateways may use.
    pub(crate) fn retry_slack_per_gateway(&self, gateway_count: usize) -> f64 {
        (self.retry_slack * RETRY_SLACK_SHARE / gateway_count.max(1) as f64)
            .min(MAX_RETRY_SLACK_PER_GATEWAY)
    }
}
