//! Processes that are frozen for some seconds while requests run, and then go on.

use std::time::Duration;

use futures_util::future::join;
use laburnumlug_standin::{BookingTiming, EngineRecord, EngineTiming};
use rustix::process::Signal;
use serde_json::json;

use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

/// Time for which a process is frozen; the service answers and the engine generates meanwhile.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Freezes a process for [`FREEZE_TIME`].
async fn freeze(fleet: &Fleet, name: &str) {
    fleet.processes[name].signal(Signal::STOP);
    compio::time::sleep(FREEZE_TIME).await;
    fleet.processes[name].signal(Signal::CONT);
}

/// Guards against the fault in which the work of a machine that was only silent was abandoned, or run again: a call that
/// may not be repeated runs once, and its caller gets the answer.
#[test]
fn no_key_target_frozen_during_call() {
    block_on(async {
        let timing = BookingTiming::default().run_time(FREEZE_TIME / 2);
        let config = FleetConfig::default().engines(0).booking_servers(2);
        let fleet = Fleet::start(config.booking_timing(timing)).await;
        let running = || {
            let booked =
                |server: &laburnumlug_standin::BookingStandIn| !server.bookings().is_empty();
            fleet.booking_servers.iter().position(booked)
        };
        let freeze = async {
            let index = wait_for("run of the call", || async { running() }).await;
            freeze(&fleet, &format!("billet-{}", index + 1)).await;
        };
        let headers = [("laburnumlug-deadline-ms", "20000")];
        let body = json!({ "seat": "A1" });
        let path = "/services/billet/reservations";
        let call = fleet.post(fleet.entry_addrs[0], path, &headers, &body);
        let (response, ()) = join(call, freeze).await;
        let response = response.unwrap();
        assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
        let runs = fleet
            .booking_servers
            .iter()
            .map(|server| server.bookings().len());
        assert_eq!(runs.sum::<usize>(), 1);
    });
}

/// A generation goes on at its engine when the process beside it has been frozen.
#[test]
fn generation_target_frozen() {
    block_on(async {
        let timing = EngineTiming::instant().token_time(Duration::from_millis(40));
        let config = FleetConfig::default().engines(2).engine_timing(timing);
        let fleet = Fleet::start(config).await;
        let starts = || {
            let starts = fleet.engines.iter().map(|engine| {
                let records = engine.records();
                let is_start =
                    |record: &&EngineRecord| matches!(record, EngineRecord::Started { .. });
                records.iter().filter(is_start).count()
            });
            starts.collect::<Vec<usize>>()
        };
        // The fleet has served requests when it is started.
        let before = starts();
        let freeze = async {
            let index = wait_for("running generation", || async {
                let mut counts = starts().into_iter().zip(&before);
                counts.position(|(count, before)| count > *before)
            })
            .await;
            freeze(&fleet, &format!("skriver-{}", index + 1)).await;
        };
        let headers = [("laburnumlug-deadline-ms", "30000")];
        let body = json!({ "model": "digest", "prompt": "p", "max_tokens": 50 });
        let call = fleet.post(fleet.entry_addrs[0], "/v1/completions", &headers, &body);
        let (response, ()) = join(call, freeze).await;
        assert_eq!(response.unwrap().status, 200);
        let started = starts().iter().sum::<usize>() - before.iter().sum::<usize>();
        assert_eq!(started, 1);
    });
}
