use super::*;

const STEP: Duration = Duration::from_millis(500);

/// Report of a gateway that has used one engine for prefill and two for decoding since `seconds` ago.
fn report(sender: u64, seconds: f64) -> DemandReport {
    let time = EngineTime {
        prefill_us: (seconds * 1e6) as u64,
        decode_us: (seconds * 2e6) as u64,
    };
    DemandReport {
        sender,
        services: [("s".to_string(), time)].into(),
    }
}

/// Two gateways share the load of a service, and one of them restarts.
#[test]
fn demand_sums_gateways() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    for i in 0..40 {
        let now = start + STEP * i;
        let seconds = (STEP * i).as_secs_f64();
        // The second gateway restarts after 12 s and counts from zero again.
        let second = match i < 24 {
            true => report(2, 100.0 + seconds),
            false => report(3, seconds - 12.0),
        };
        meter.update(now, &[report(1, seconds), second]);
    }
    let Demand::Sampled(samples) = meter.demand(start + STEP * 39, "s") else {
        panic!("expected samples after 20 s");
    };
    let newest = samples[samples.len() - 1];
    assert!((1.99..=2.01).contains(&newest.prefill), "{newest:?}");
    assert!((3.99..=4.01).contains(&newest.decode), "{newest:?}");
    // Only the first report of the restarted gateway is left out.
    let partial = samples.iter().filter(|sample| sample.prefill < 1.9);
    assert_eq!(partial.count(), 1);
}

/// A new leader must not take the first seconds for a service without demand.
#[test]
fn demand_unknown_at_first() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    assert_eq!(meter.demand(start, "s"), Demand::Unknown);
    for i in 0..5 {
        meter.update(start + STEP * i, &[report(1, 0.0)]);
        assert_eq!(meter.demand(start + STEP * i, "s"), Demand::Unknown);
    }
    for i in 5..10 {
        meter.update(start + STEP * i, &[report(1, 0.0)]);
    }
    assert_eq!(meter.demand(start + STEP * 9, "s"), Demand::Idle);
}

/// Without reports of gateways there are no samples.
#[test]
fn demand_unknown_without_reports() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    for i in 0..40 {
        meter.update(start + STEP * i, &[]);
    }
    assert_eq!(meter.demand(start + STEP * 39, "s"), Demand::Unknown);
}

/// Engines start without the shared parts of prompts and prefill them all in the first seconds. Roles that follow that
/// demand leave too few decode engines for the time after it.
#[test]
fn demand_unknown_while_caches_fill() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    for i in 0..20 {
        meter.update(start + STEP * i, &[report(1, 0.0)]);
    }
    for i in 20..50 {
        meter.update(
            start + STEP * i,
            &[report(1, (STEP * (i - 19)).as_secs_f64())],
        );
        assert_eq!(meter.demand(start + STEP * i, "s"), Demand::Unknown);
    }
}

/// A service that had demand does not count as idle when the demand ends: its next requests are likely alike.
#[test]
fn demand_sampled_after_it_ends() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    for i in 0..60 {
        meter.update(start + STEP * i, &[report(1, (STEP * i).as_secs_f64())]);
    }
    for i in 60..100 {
        meter.update(start + STEP * i, &[report(1, 30.0)]);
    }
    let demand = meter.demand(start + STEP * 99, "s");
    assert!(matches!(demand, Demand::Sampled(_)));
}

/// A leader that was suspended discards its samples: the totals grew over an unknown time.
#[test]
fn demand_unknown_after_gap() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    for i in 0..60 {
        meter.update(start + STEP * i, &[report(1, (STEP * i).as_secs_f64())]);
    }
    let later = start + Duration::from_secs(60);
    meter.update(later, &[report(1, 60.0)]);
    assert_eq!(meter.demand(later, "s"), Demand::Unknown);
}

#[test]
fn display_mean_of_samples() {
    let samples = [(1.0, 4.0), (2.0, 5.0)].map(|(prefill, decode)| PhaseDemand { prefill, decode });
    assert_eq!(
        Demand::Sampled(samples.to_vec()).to_string(),
        "1.5 engines busy with prefill and 4.5 with decoding, on average over 2 samples"
    );
}

/// Requests stop while gateways still report. The samples of before must not keep engines ordered forever; without reports,
/// the demand is not known.
#[test]
fn recent_demand_after_requests_stop() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    for i in 0..80 {
        let seconds = (STEP * i.min(40)).as_secs_f64();
        meter.update(start + STEP * i, &[report(1, seconds)]);
    }
    let now = start + STEP * 79;
    assert_eq!(meter.recent_demand(now, "s"), Demand::Idle);
    assert!(matches!(meter.demand(now, "s"), Demand::Sampled(_)));
    meter.update(now, &[]);
    assert_eq!(meter.recent_demand(now, "s"), Demand::Unknown);
}
