//! Command-line options of the seeded fault tests.

use std::time::Duration;

/// Seeds that run without `--seed`.
pub const DEFAULT_SEEDS: [u64; 2] = [1, 2];

/// Duration of each seed's run without `--seconds`, in seconds.
pub const DEFAULT_SECONDS: u64 = 15;

/// Seeds to run, and the duration of each run.
pub struct Options {
    pub seeds: Vec<u64>,
    pub duration: Duration,
}

impl Options {
    /// Parses `--seed N` and `--seconds N`, and ignores the arguments that the test runner adds.
    pub fn from_args() -> Options {
        let args: Vec<String> = std::env::args().collect();
        let seeds = match number_after(&args, "--seed") {
            Some(seed) => vec![seed],
            None => DEFAULT_SEEDS.to_vec(),
        };
        let seconds = number_after(&args, "--seconds").unwrap_or(DEFAULT_SECONDS);
        Options {
            seeds,
            duration: Duration::from_secs(seconds),
        }
    }
}

/// Returns the number that follows the option `name`.
pub fn number_after(args: &[String], name: &str) -> Option<u64> {
    let i = args.iter().position(|arg| arg == name)?;
    let text = args
        .get(i + 1)
        .unwrap_or_else(|| panic!("{name}: expected a number, found no value"));
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name}: expected a number, found {text:?}")),
    )
}
