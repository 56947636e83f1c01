/*!
The roles of the daemon `laburnumlugd`, for the binary and for tests that run them in one process.

```no_run
use laburnumlug_daemon::{Args, run};

let args: Args = argh::from_env();
std::process::exit(run(args));
```

Each role reads one INI file, validates all of it before it listens, and then runs until SIGTERM or Ctrl-C.
It then accepts no new work, finishes the work in flight and exits with code 0.
*/

mod args;
mod control;
mod control_client;
mod control_metrics;
mod dev;
mod duties;
mod entry;
mod error;
#[cfg(test)]
mod fake_control;
mod fleet_store;
mod fleet_watch;
mod gateway;
mod gateway_exchange;
mod gateway_metrics;
mod leadership;
mod listener;
mod log_writer;
mod logging;
mod metrics;
mod ready_router;
mod redirect;
mod redirect_metrics;
mod registration;
mod role_planner;
mod settings;
mod settings_watch;
mod signal;
mod software_recorder;
mod target;
mod target_reader;

pub use crate::args::Args;
pub use crate::error::Error;
use crate::settings::{ControlRoleSettings, SettingsFile};
use crate::signal::{Hangup, Signals};

/// Exit code for an invalid command line or settings file.
const EXIT_SETTINGS: i32 = 2;

/// Exit code for all other failures.
const EXIT_FAILURE: i32 = 1;

/// Exit code of a target process whose slot another process holds.
const EXIT_SLOT_HELD: i32 = 3;

/// Runs the role selected on the command line and returns the process's exit code.
pub fn run(args: Args) -> i32 {
    let hangup = match args.role {
        args::Role::Dev(_) => Hangup::Ends,
        _ => Hangup::Ignored,
    };
    // Nothing may come before: without handlers, a signal ends the process.
    let signals = match Signals::install(hangup) {
        Ok(signals) => signals,
        Err(err) => {
            eprintln!("laburnumlugd: failed to install the signal handlers: {err}");
            return EXIT_FAILURE;
        }
    };
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("laburnumlugd: failed to create the async runtime: {err}");
            return EXIT_FAILURE;
        }
    };
    match runtime.block_on(run_role(args, signals)) {
        Ok(()) => 0,
        Err(err) => {
            eprintln!("laburnumlugd: {err}");
            log::error!("exiting after an error: {err}");
            match () {
                () if err.is_settings() => EXIT_SETTINGS,
                () if err.is_slot_held() => EXIT_SLOT_HELD,
                () => EXIT_FAILURE,
            }
        }
    }
}

async fn run_role(args: Args, signals: Signals) -> Result<(), Error> {
    match args.role {
        args::Role::Entry(args) => entry::run(SettingsFile::open(&args.settings)?, signals).await,
        args::Role::Target(args) => target::run(SettingsFile::open(&args.settings)?, signals).await,
        args::Role::Control(args) => {
            let file = SettingsFile::open(&args.settings)?;
            match file.settings() {
                ControlRoleSettings::Replica(settings) => {
                    let settings = (**settings).clone();
                    control::run(settings, file, signals).await
                }
                ControlRoleSettings::Redirect(settings) => {
                    let settings = (**settings).clone();
                    redirect::run(settings, file, signals).await
                }
            }
        }
        args::Role::Gateway(args) => {
            gateway::run(SettingsFile::open(&args.settings)?, signals).await
        }
        args::Role::Dev(args) => dev::run(args, signals).await,
    }
}
