//! The commands `drain` and `control`, which edit one list row of the fleet document in force.

use eyre::Result;
use serde_json::{Value, json};

use crate::failure::Failure;
use crate::fleet::{print_version, random_key};
use crate::operator_args::{ConnectionArgs, ControlArgs, ControlCommand, DrainArgs, ReplaceArgs};
use crate::operator_client::OperatorClient;

/// Sets a target's state to `leaving`, or back to `serving`.
pub(crate) async fn drain(args: DrainArgs) -> Result<()> {
    let state = match args.cancel {
        true => "serving",
        false => "leaving",
    };
    edit_document(&args.connection(), args.json, |document| {
        let target = find_row(document, "targets", &args.target)?;
        target["state"] = json!(state);
        Ok(())
    })
    .await
}

/// Runs a subcommand of `control`.
pub(crate) async fn control(args: ControlArgs) -> Result<()> {
    match args.command {
        ControlCommand::Replace(args) => replace(args).await,
    }
}

async fn replace(args: ReplaceArgs) -> Result<()> {
    edit_document(&args.connection(), args.json, |document| {
        let replica = find_row(document, "control", &args.replica)?;
        replica["name"] = json!(args.name);
        replica["address"] = json!(args.address);
        if let Some(zone) = &args.zone {
            replica["zone"] = json!(zone);
        }
        Ok(())
    })
    .await
}

/// Applies a change to the document in force and submits the result, unless it is unchanged.
///
/// The submission is based on the version that was read, so that it conflicts with a concurrent change.
async fn edit_document<F>(connection: &ConnectionArgs, as_json: bool, change: F) -> Result<()>
where
    F: FnOnce(&mut Value) -> Result<(), Failure>,
{
    let client = OperatorClient::new(connection)?;
    let fleet = client.fleet_document().await?;
    let mut document: Value = serde_json::from_str(&fleet.text)?;
    let original = document.clone();
    change(&mut document)?;
    let version = match document == original {
        true => fleet.version,
        false => {
            let text = document.to_string();
            client
                .put_fleet(fleet.version, &random_key(), &text)
                .await?
        }
    };
    print_version(version, as_json);
    Ok(())
}

/// Returns the row with the given name in a list of the document.
fn find_row<'a>(document: &'a mut Value, list: &str, name: &str) -> Result<&'a mut Value, Failure> {
    let rows = document.get_mut(list).and_then(Value::as_array_mut);
    let rows = rows.map_or(&mut [][..], Vec::as_mut_slice);
    let names: Vec<String> = rows
        .iter()
        .filter_map(|row| row["name"].as_str().map(str::to_string))
        .collect();
    match names.iter().position(|candidate| candidate == name) {
        Some(index) => Ok(&mut rows[index]),
        None => Err(Failure::Usage(format!(
            "no row named {name:?} in {list}; expected one of: {}",
            names.join(", ")
        ))),
    }
}
