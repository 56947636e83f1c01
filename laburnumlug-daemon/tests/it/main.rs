//! Integration tests with real processes.

mod at_most_once;
mod bench;
mod callers;
mod capacity;
mod claim_cost;
mod cli;
mod client;
mod control;
mod end_to_end;
mod harness;
mod log_fields;
mod operators;
mod platform;
mod platform_fleet;
mod scaling;
mod settings;
mod settings_page;
mod targets;
mod usage;
