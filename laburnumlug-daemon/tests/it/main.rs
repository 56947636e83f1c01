//! Integration tests with real processes.

mod bench;
mod callers;
mod capacity;
mod claim_cost;
mod cli;
mod client;
mod control;
mod harness;
mod log_fields;
mod operators;
mod path;
mod platform;
mod platform_fleet;
mod requests;
mod settings;
mod settings_page;
mod targets;
