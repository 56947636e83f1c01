//! Metrics of one process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::{Limits, Request, Response, Server, full_body, text_response};
use laburnumlug_mesh::sent_traffic;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::Error;
use crate::listener::bind;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS_SECONDS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

/// Instruments of one process and the registry from which they are exported.
pub(crate) struct Metrics {
    registry: Registry,
    meter: Meter,
    /// Owns the pipeline of the instruments, which shuts down when this is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    orders: Counter<u64>,
    latency: Histogram<f64>,
    claims: Counter<u64>,
    claim_time: Histogram<f64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments of a process.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub(crate) fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(Error::other)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter: Meter = provider.meter("laburnumlug");
        register_mesh_counters(&meter);
        Ok(Metrics {
            registry,
            requests: meter
                .u64_counter("laburnumlug.requests")
                .with_description("Requests by operation, HTTP status and verdict")
                .build(),
            attempts: meter
                .u64_counter("laburnumlug.attempts")
                .with_description("Attempts at requests by target and outcome")
                .build(),
            orders: meter
                .u64_counter("laburnumlug.orders")
                .with_description("Orders to the engine by what is known of their outcome")
                .build(),
            latency: meter
                .f64_histogram("laburnumlug.request.seconds")
                .with_description("Time from a request's arrival to the head of its answer")
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build(),
            claims: meter
                .u64_counter("laburnumlug.claims")
                .with_description("Claims of calls that may run at most once, by outcome")
                .build(),
            claim_time: meter
                .f64_histogram("laburnumlug.claim.seconds")
                .with_description("Time from the question for a claim to its outcome")
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build(),
            retries: meter
                .u64_counter("laburnumlug.retries")
                .with_description("Retries of lost requests, by whether the retry budget had room")
                .build(),
            refusals: meter
                .u64_counter("laburnumlug.refusals")
                .with_description(
                    "Requests answered with an error of this entry's own, by its code",
                )
                .build(),
            meter,
            _provider: provider,
        })
    }

    /// Creates a gauge that is exported with the process's other metrics.
    pub(crate) fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter
            .u64_gauge(name)
            .with_description(description)
            .build()
    }

    /// Creates a counter that is exported with the process's other metrics.
    pub(crate) fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter
            .u64_counter(name)
            .with_description(description)
            .build()
    }

    /// Creates a histogram whose buckets have the upper bounds `bounds`.
    pub(crate) fn histogram(
        &self,
        name: &'static str,
        description: &'static str,
        bounds: &[f64],
    ) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_description(description)
            .with_boundaries(bounds.to_vec())
            .build()
    }

    /// Counts a request and the time to the head of its answer.
    pub(crate) fn count_request(
        &self,
        operation: &'static str,
        status: u16,
        verdict: &str,
        time: Duration,
    ) {
        self.requests.add(
            1,
            &[
                KeyValue::new("operation", operation),
                KeyValue::new("status", i64::from(status)),
                KeyValue::new("verdict", verdict.to_string()),
            ],
        );
        self.latency
            .record(time.as_secs_f64(), &[KeyValue::new("operation", operation)]);
    }

    /// Counts one attempt at a request by its target and outcome.
    pub(crate) fn count_attempt(&self, target: &str, outcome: &'static str) {
        self.attempts.add(
            1,
            &[
                KeyValue::new("target", target.to_string()),
                KeyValue::new("outcome", outcome),
            ],
        );
    }

    /// Counts one order that the target process sent to its engine.
    pub(crate) fn count_order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts one claim of a call by its outcome.
    pub(crate) fn count_claim(&self, outcome: &'static str) {
        self.claims.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time from a request for a claim to its outcome.
    pub(crate) fn record_claim_time(&self, time: Duration) {
        self.claim_time.record(time.as_secs_f64(), &[]);
    }

    /// Counts a retry that was made or that the exhausted retry budget prevented.
    pub(crate) fn count_retry(&self, outcome: &'static str) {
        self.retries.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that was answered with an error of this entry's own.
    pub(crate) fn count_refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn prometheus_text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => format!("# {err}\n"),
        }
    }
}

/// Registers counters of the messages and bytes that the process sends over the mesh.
fn register_mesh_counters(meter: &Meter) {
    meter
        .u64_observable_counter("laburnumlug.mesh.messages")
        .with_description("Messages sent to the system's own processes")
        .with_callback(|observer| observer.observe(sent_traffic().messages, &[]))
        .build();
    meter
        .u64_observable_counter("laburnumlug.mesh.bytes")
        .with_description("Bytes sent to the system's own processes")
        .with_callback(|observer| observer.observe(sent_traffic().bytes, &[]))
        .build();
}

/// Serves `/metrics` on `addr`, or does nothing if that is `None`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn serve(addr: Option<SocketAddr>, metrics: Rc<Metrics>) -> Result<(), Error> {
    serve_with_refresh(addr, metrics, || {}).await
}

/// Serves `/metrics` like [`serve`], and calls `refresh` before each answer.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn serve_with_refresh<F>(
    addr: Option<SocketAddr>,
    metrics: Rc<Metrics>,
    refresh: F,
) -> Result<(), Error>
where
    F: Fn() + 'static,
{
    let Some(addr) = addr else { return Ok(()) };
    let listener = bind(addr).await?;
    let handler = Rc::new(move |req: Request| {
        let metrics = metrics.clone();
        refresh();
        async move { handle_request(&metrics, &req) }
    });
    compio::runtime::spawn(Server::new(listener, Limits::for_probes()).run(handler)).detach();
    Ok(())
}

fn handle_request(metrics: &Metrics, req: &Request) -> Response {
    match (req.method().as_str(), req.uri().path()) {
        ("GET", "/metrics") => hyper::Response::new(full_body(metrics.prometheus_text())),
        ("GET", "/health") => text_response(200, "ok"),
        _ => text_response(404, "not found"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_names_of_documented_metrics() {
        let metrics = Metrics::new().unwrap();
        metrics.count_claim("granted");
        metrics.record_claim_time(Duration::from_millis(1));
        metrics.count_retry("made");
        metrics.count_refusal("overloaded");
        let text = metrics.prometheus_text();
        for name in [
            "laburnumlug_claims_total{outcome=\"granted\"",
            "laburnumlug_claim_seconds_bucket",
            "laburnumlug_retries_total{outcome=\"made\"",
            "laburnumlug_refusals_total{code=\"overloaded\"",
        ] {
            assert!(text.contains(name), "{name} is not in {text}");
        }
    }
}
