//! The command `bench`: compares serving policies under seeded workloads.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use eyre::{Context, Result};
use laburnumlug_bench::{BenchPolicy, Config, Workload, plot, table_header, table_row};

use crate::failure::Failure;

/// File name of the daemon's executable.
const DAEMON_FILE_NAME: &str = "laburnumlugd";

/// Compare policies by loading real laburnumlug processes in front of simulated engines.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "bench",
    example = "{command_name} --policy mixed,predicted --workload gulvdans-swing --seed 1,2,3"
)]
pub(crate) struct BenchArgs {
    /// policies, separated by commas (default all)
    #[argh(option, default = "String::new()")]
    pub(crate) policy: String,

    /// workloads, separated by commas (default all)
    #[argh(option, default = "String::new()")]
    pub(crate) workload: String,

    /// seeds, separated by commas (default 1)
    #[argh(option, default = "\"1\".to_string()")]
    pub(crate) seed: String,

    /// length of the arrival trace in seconds of simulated time (default 240)
    #[argh(option, default = "240")]
    pub(crate) seconds: u64,

    /// seconds of simulated time per second of wall-clock time (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) compression: f64,

    /// number of engines (default that of the workload)
    #[argh(option)]
    pub(crate) engines: Option<usize>,

    /// path of laburnumlugd (default in the directory of this program)
    #[argh(option)]
    pub(crate) daemon: Option<PathBuf>,

    /// print the reports as JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// plot the runs to this SVG file
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Returns the failure for an invalid value of an option.
fn invalid_value(option: &str, found: &str, expected: &str) -> Failure {
    Failure::Usage(format!(
        "invalid value {found:?} for --{option}; expected {expected}"
    ))
}

/// Runs each policy on each workload with each seed, one after the other.
pub(crate) async fn run(args: BenchArgs) -> Result<()> {
    let policies = resolve_names(
        "policy",
        &args.policy,
        BenchPolicy::names(),
        BenchPolicy::by_name,
    )?;
    let workloads = resolve_names(
        "workload",
        &args.workload,
        Workload::names(),
        Workload::by_name,
    )?;
    let seeds = parse_seeds(&args.seed)?;
    let config = Config::new(daemon_path(&args)?)
        .trace_length(Duration::from_secs(args.seconds))
        .compression(args.compression)
        .progress(std::io::stderr().is_terminal());
    let mut reports = Vec::new();
    if !args.json {
        println!("{}", table_header());
    }
    for workload in workloads {
        let workload = match args.engines {
            Some(engines) => workload.engines(engines),
            None => workload,
        };
        for seed in &seeds {
            for policy in &policies {
                let run = laburnumlug_bench::run(&config, &workload, policy, *seed);
                let report = run.await.wrap_err("the benchmark run failed")?;
                if !args.json {
                    println!("{}", table_row(&report));
                }
                reports.push(report);
            }
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    }
    if let Some(path) = &args.plot {
        std::fs::write(path, plot(&reports))
            .wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}

/// Returns the items named in a comma-separated list, or all items if the list is empty.
fn resolve_names<T, F>(option: &str, list: &str, all: Vec<&str>, lookup: F) -> Result<Vec<T>>
where
    F: Fn(&str) -> Option<T>,
{
    let names: Vec<&str> = match list.is_empty() {
        true => all.clone(),
        false => list.split(',').map(str::trim).collect(),
    };
    names
        .into_iter()
        .map(|name| {
            lookup(name).ok_or_else(|| invalid_value(option, name, &all.join(" or ")).into())
        })
        .collect()
}

fn parse_seeds(list: &str) -> Result<Vec<u64>> {
    list.split(',')
        .map(|text| {
            let expected = "non-negative integers, separated by commas";
            text.trim()
                .parse()
                .map_err(|_| invalid_value("seed", text, expected).into())
        })
        .collect()
}

/// Returns the path given with `--daemon`, or that of the daemon in the directory of this program.
fn daemon_path(args: &BenchArgs) -> Result<PathBuf> {
    match &args.daemon {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?.with_file_name(DAEMON_FILE_NAME)),
    }
}
