//! Metrics of a gateway.

use std::time::{Duration, Instant};

use laburnumlug::Repetition;
use laburnumlug_forward::{ForwardObserver, Forwarder};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::metrics::Metrics;

/// Upper bounds of the latency histogram's buckets, in seconds; routes have latency objectives of 100 to 600 ms.
const LATENCY_BOUNDS_SECONDS: [f64; 16] = [
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 2.0, 4.0, 8.0,
];

/// Upper bounds of the buckets of the age of confirmations, in seconds; replicas are asked twice a second, and 2 s is the time in
/// which a change must be in force.
const CONFIRMATION_AGE_BOUNDS_SECONDS: [f64; 10] =
    [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0];

/// Records the events of a forwarder as metrics.
pub(crate) struct GatewayMetrics {
    routes_age: Histogram<f64>,
    unconfirmed_routes: Counter<u64>,
    answers: Counter<u64>,
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    broken_streams: Counter<u64>,
    memory_exceeded: Counter<u64>,
    held_bytes: Gauge<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    above_share: Gauge<u64>,
}

impl GatewayMetrics {
    /// Registers the instruments with the process's metrics.
    pub(crate) fn new(metrics: &Metrics) -> GatewayMetrics {
        let counter = |name, description| metrics.counter(name, description);
        GatewayMetrics {
            routes_age: metrics.histogram(
                "laburnumlug.gateway.routes.age.seconds",
                "Time since the routes were last confirmed when a request was routed by them, by whether a newer change was logged",
                &CONFIRMATION_AGE_BOUNDS_SECONDS,
            ),
            unconfirmed_routes: counter(
                "laburnumlug.gateway.unconfirmed.routes",
                "Requests that were routed by routes which no majority of control has confirmed since the start of the process",
            ),
            answers: counter(
                "laburnumlug.gateway.answers",
                "Answers of targets that were passed on, by kind of route and status",
            ),
            latency: metrics.histogram(
                "laburnumlug.gateway.answer.seconds",
                "Time from a request's arrival to its whole answer, or to a stream's first event",
                &LATENCY_BOUNDS_SECONDS,
            ),
            refusals: counter(
                "laburnumlug.gateway.refusals",
                "Answers of the gateway's own, by status and cause",
            ),
            broken_streams: counter(
                "laburnumlug.gateway.broken.streams",
                "Streams that had begun and were broken off",
            ),
            memory_exceeded: counter(
                "laburnumlug.gateway.memory.exceeded",
                "Exchanges that were ended because of the memory budget, by what they held",
            ),
            held_bytes: metrics.gauge(
                "laburnumlug.gateway.held.bytes",
                "Bytes that are held of bodies, events and queues, which the memory budget bounds",
            ),
            attempts: counter(
                "laburnumlug.gateway.sends",
                "Sends of requests to targets by outcome",
            ),
            retries: counter(
                "laburnumlug.gateway.further.sends",
                "Sends beyond a request's first, by whether the limit allowed them",
            ),
            above_share: metrics.gauge(
                "laburnumlug.gateway.customers.above.share",
                "Customers that use more than their shares of busy engines",
            ),
        }
    }
}

impl GatewayMetrics {
    /// Sets the gauges that are read from the forwarder.
    pub(crate) fn refresh(&self, forwarder: &Forwarder, now: Instant) {
        let above_share = forwarder.customers_above_share(now) as u64;
        self.above_share.record(above_share, &[]);
        self.held_bytes
            .record(laburnumlug_http::held_bytes() as u64, &[]);
    }
}

impl ForwardObserver for GatewayMetrics {
    fn routed(&self, confirmation_age: Option<Duration>, newer_logged: bool) {
        let newer_logged = [KeyValue::new("newer_logged", newer_logged)];
        match confirmation_age {
            Some(age) => self.routes_age.record(age.as_secs_f64(), &newer_logged),
            None => self.unconfirmed_routes.add(1, &newer_logged),
        }
    }

    fn answered(&self, repetition: Repetition, status: u16, time: Duration) {
        let kind = KeyValue::new("kind", repetition_label(repetition));
        self.latency
            .record(time.as_secs_f64(), std::slice::from_ref(&kind));
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[kind, status]);
    }

    fn refused(&self, status: u16, cause: &'static str) {
        let status = KeyValue::new("status", i64::from(status));
        self.refusals
            .add(1, &[status, KeyValue::new("cause", cause)]);
    }

    fn stream_aborted(&self) {
        self.broken_streams.add(1, &[]);
    }

    fn memory_exceeded(&self, part: &'static str) {
        self.memory_exceeded.add(1, &[KeyValue::new("part", part)]);
    }

    fn attempt_finished(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    fn retry_requested(&self, allowed: bool) {
        let allowed = KeyValue::new("allowed", allowed);
        self.retries.add(1, &[allowed]);
    }
}

fn repetition_label(repetition: Repetition) -> &'static str {
    match repetition {
        Repetition::Safe => "safe",
        Repetition::Unsafe => "unsafe",
        Repetition::Stream => "stream",
    }
}

#[cfg(test)]
#[path = "gateway_metrics_tests.rs"]
mod tests;
