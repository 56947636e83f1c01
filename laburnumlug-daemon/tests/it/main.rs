//! Integration tests with real processes.

mod at_most_once;
mod bench;
mod callers;
mod capacity;
mod claim_cost;
mod cli;
mod client;
mod control;
mod control_discovery;
mod control_faults;
mod control_fleet;
mod control_referral;
mod control_status;
mod customers;
mod end_to_end;
mod frozen_control;
mod gateway_fleet;
mod harness;
mod leaving_after_restart;
mod log_fields;
mod operators;
mod planned_stop;
mod platform;
mod platform_fleet;
mod restart_of_all;
mod scaling;
mod settings;
mod settings_page;
mod signals;
mod silent_connections;
mod silent_process;
#[path = "../../../platform/tests/it/standin.rs"]
mod standin;
mod stop_sweep;
mod targets;
mod usage;
