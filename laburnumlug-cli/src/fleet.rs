//! The subcommands of `fleet`: they print, validate, compare and replace the fleet document.

use std::path::Path;

use eyre::Result;
use laburnumlug::FleetVersion;
use laburnumlug_operator::{Difference, Fault, redact_document, validate_document};
use serde_json::{Value, json};

use crate::failure::Failure;
use crate::operator_args::{ApplyArgs, CheckArgs, DiffArgs, FleetArgs, FleetCommand, ShowArgs};
use crate::operator_client::OperatorClient;

/// Fleet document that `fleet template` prints.
const TEMPLATE: &str = include_str!("template.json");

/// Runs a subcommand of `fleet`.
pub(crate) async fn run(args: FleetArgs) -> Result<()> {
    match args.command {
        FleetCommand::Apply(args) => apply(args).await,
        FleetCommand::Check(args) => check(&args),
        FleetCommand::Diff(args) => diff(args).await,
        FleetCommand::Show(args) => show(args).await,
        FleetCommand::Template(_) => {
            print!("{TEMPLATE}");
            Ok(())
        }
    }
}

/// Prints the version that an accepted change has put in force.
pub(crate) fn print_version(version: FleetVersion, as_json: bool) {
    match as_json {
        true => println!("{}", json!({ "version": version })),
        false => println!("version {version} is in force"),
    }
}

/// Generates the idempotency key of a new submission.
pub(crate) fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn check(args: &CheckArgs) -> Result<()> {
    let faults = match validate_document(&read_document(&args.file)?) {
        Ok(_) => Vec::new(),
        Err(faults) => faults,
    };
    if args.json {
        println!("{}", json!({ "faults": faults }));
    }
    if !faults.is_empty() {
        return Err(Failure::InvalidDocument(faults).into());
    }
    if !args.json {
        println!("{}: no faults", args.file.display());
    }
    Ok(())
}

async fn show(args: ShowArgs) -> Result<()> {
    let fleet = OperatorClient::new(&args.connection())?
        .fleet_document()
        .await?;
    if fleet.version == 0 {
        return Err(Failure::Refused("no fleet document has been accepted yet".into()).into());
    }
    let document: Value = serde_json::from_str(&fleet.text)?;
    let shown = match args.with_keys {
        true => document.clone(),
        false => redact_document(&document),
    };
    if shown != document {
        eprintln!(
            "laburnumlug: customers' keys are not shown; to edit the document, use --with-keys"
        );
    }
    if args.json {
        println!("{}", json!({ "version": fleet.version, "document": shown }));
    } else {
        eprintln!("version {}", fleet.version);
        println!("{}", serde_json::to_string_pretty(&shown)?);
    }
    Ok(())
}

async fn diff(args: DiffArgs) -> Result<()> {
    let client = OperatorClient::new(&args.connection())?;
    let report = client.check_fleet(&read_document(&args.file)?).await?;
    let faults: Vec<Fault> = serde_json::from_value(report["faults"].clone())?;
    let differences: Vec<Difference> = serde_json::from_value(report["differences"].clone())?;
    if args.json {
        println!("{report}");
    } else {
        println!("against version {}:", report["version"]);
        differences.iter().for_each(|d| println!("{d}"));
        println!("{} differences", differences.len());
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Failure::InvalidDocument(faults).into()),
    }
}

async fn apply(args: ApplyArgs) -> Result<()> {
    let document = read_document(&args.file)?;
    if let Err(faults) = validate_document(&document) {
        return Err(Failure::InvalidDocument(faults).into());
    }
    let client = OperatorClient::new(&args.connection())?;
    let base = match (args.base, args.force_base) {
        (Some(base), false) => base,
        (None, true) => client.fleet_document().await?.version,
        _ => {
            let message = "give either --base with the version that the document is based on, or --force-base";
            return Err(Failure::Usage(message.into()).into());
        }
    };
    let key = args.key.clone().unwrap_or_else(random_key);
    let version = client.put_fleet(base, &key, &document).await?;
    print_version(version, args.json);
    Ok(())
}

fn read_document(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|err| Failure::Usage(format!("cannot read {}: {err}", path.display())).into())
}
