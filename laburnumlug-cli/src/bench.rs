//! The command `bench`: measures the decisions.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use eyre::{Context, Result};
use laburnumlug_bench::{BenchPolicy, Config, Workload, plot, table_header, table_row};

use crate::failure::Failure;

/// Name of the daemon's program.
const DAEMON: &str = "laburnumlugd";

/// Measure the decisions: load real processes around modelled engines.
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

    /// seconds of the model's time in which requests arrive (default 240)
    #[argh(option, default = "240")]
    pub(crate) seconds: u64,

    /// seconds of the model in a second of the clock (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) compression: f64,

    /// engines, in place of the workload's own number
    #[argh(option)]
    pub(crate) engines: Option<usize>,

    /// path of laburnumlugd (default beside this program)
    #[argh(option)]
    pub(crate) daemon: Option<PathBuf>,

    /// print the figures as JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// draw the runs into an SVG file
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Returns the failure of an argument that is not among those allowed.
fn unknown(option: &str, found: &str, allowed: &str) -> Failure {
    Failure::Usage(format!("--{option}: found {found:?}, allowed: {allowed}"))
}

/// Runs each policy on each workload with each seed, one after the other.
pub(crate) async fn run(args: BenchArgs) -> Result<()> {
    let policies = named(
        "policy",
        &args.policy,
        BenchPolicy::names(),
        BenchPolicy::by_name,
    )?;
    let workloads = named(
        "workload",
        &args.workload,
        Workload::names(),
        Workload::by_name,
    )?;
    let seeds = seeds(&args.seed)?;
    let config = Config::new(daemon(&args)?)
        .length(Duration::from_secs(args.seconds))
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
                let report = run.await.wrap_err("the run failed")?;
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

/// Returns what a list of names stands for; an empty list stands for all.
fn named<T, F>(option: &str, list: &str, all: Vec<&str>, find: F) -> Result<Vec<T>>
where
    F: Fn(&str) -> Option<T>,
{
    let names: Vec<&str> = match list.is_empty() {
        true => all.clone(),
        false => list.split(',').map(str::trim).collect(),
    };
    names
        .into_iter()
        .map(|name| find(name).ok_or_else(|| unknown(option, name, &all.join(", ")).into()))
        .collect()
}

fn seeds(list: &str) -> Result<Vec<u64>> {
    list.split(',')
        .map(|text| {
            let allowed = "whole numbers, separated by commas";
            text.trim()
                .parse()
                .map_err(|_| unknown("seed", text, allowed).into())
        })
        .collect()
}

/// Returns the daemon's path: as given, or beside this program.
fn daemon(args: &BenchArgs) -> Result<PathBuf> {
    match &args.daemon {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?.with_file_name(DAEMON)),
    }
}
