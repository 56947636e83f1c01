use std::rc::Rc;

use laburnumlug_forward::ForwardConfig;
use laburnumlug_platform::{PlatformHeaderCodec, PlatformInspector};

use super::*;

#[test]
fn text_names_and_buckets() {
    let metrics = Metrics::new().unwrap();
    let gateway = GatewayMetrics::new(&metrics);
    gateway.routed(Some(Duration::from_millis(400)), false);
    gateway.routed(None, true);
    gateway.answered(Repetition::Stream, 200, Duration::from_millis(350));
    gateway.refused(503, "no-target");
    gateway.stream_aborted();
    gateway.memory_exceeded("answer");
    gateway.attempt_finished("answer-lost");
    gateway.retry_requested(false);
    let cfg = ForwardConfig::new("z");
    let codec = Rc::new(PlatformHeaderCodec);
    let forwarder = Forwarder::new(cfg, codec, Rc::new(PlatformInspector));
    gateway.refresh(&forwarder, Instant::now());
    let text = metrics.prometheus_text();
    for line in [
        "laburnumlug_gateway_routes_age_seconds_bucket{newer_logged=\"false\"",
        "laburnumlug_gateway_unconfirmed_routes_total{newer_logged=\"true\"",
        "laburnumlug_gateway_answers_total{kind=\"stream\"",
        "laburnumlug_gateway_answer_seconds_bucket{kind=\"stream\"",
        "laburnumlug_gateway_refusals_total{cause=\"no-target\"",
        "laburnumlug_gateway_broken_streams_total",
        "laburnumlug_gateway_memory_exceeded_total{part=\"answer\"",
        "laburnumlug_gateway_held_bytes",
        "laburnumlug_gateway_sends_total{outcome=\"answer-lost\"",
        "laburnumlug_gateway_customers_above_share",
        "laburnumlug_gateway_further_sends_total{allowed=\"false\"",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    // The latency objectives of 300, 400 and 600 ms are bucket bounds.
    for bound in ["0.3", "0.4", "0.6"] {
        assert!(text.contains(&format!("le=\"{bound}\"")), "{text}");
    }
}
