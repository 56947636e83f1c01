//! Benchmark configuration.

use std::path::PathBuf;
use std::time::Duration;

/// Configuration shared by all runs of one invocation.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) daemon: PathBuf,
    pub(crate) trace_length: Duration,
    pub(crate) compression: f64,
    pub(crate) entries: usize,
    pub(crate) progress: bool,
}

impl Config {
    /// Creates a configuration that starts the daemon executable at `daemon`.
    pub fn new(daemon: PathBuf) -> Config {
        Config {
            daemon,
            trace_length: Duration::from_secs(240),
            compression: 20.0,
            entries: 2,
            progress: false,
        }
    }

    /// Sets the simulated time during which requests arrive.
    pub fn trace_length(mut self, length: Duration) -> Config {
        self.trace_length = length;
        self
    }

    /// Sets the seconds of simulated time per wall-clock second.
    pub fn compression(mut self, factor: f64) -> Config {
        self.compression = factor;
        self
    }

    /// Sets whether a progress bar is drawn on standard error.
    pub fn progress(mut self, progress: bool) -> Config {
        self.progress = progress;
        self
    }

    /// Converts a simulated time to wall-clock time.
    pub(crate) fn to_wall_clock(&self, time: Duration) -> Duration {
        time.div_f64(self.compression)
    }
}
