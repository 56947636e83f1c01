//! The command `audit`: prints records of the audit trail.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::Result;
use laburnumlug_operator::{AuditRecord, AuditResult};

use crate::failure::Failure;
use crate::operator_args::AuditArgs;
use crate::operator_client::OperatorClient;
use crate::table::Table;

/// Prints the records that match the filters as a table or as JSON lines.
pub(crate) async fn run(args: AuditArgs) -> Result<()> {
    let client = OperatorClient::new(&args.connection())?;
    let lines = client
        .audit(&query_string(&args, SystemTime::now())?)
        .await?;
    if args.json {
        print!("{lines}");
        return Ok(());
    }
    let header = [
        "number", "time", "operator", "from", "base", "result", "details",
    ];
    let mut table = Table::new(&header);
    for line in lines.lines() {
        let record: AuditRecord = serde_json::from_str(line)?;
        table.push_row(&cells(&record));
    }
    print!("{}", table.render());
    Ok(())
}

fn query_string(args: &AuditArgs, now: SystemTime) -> Result<String, Failure> {
    let mut query = format!("limit={}", args.limit);
    if let Some(operator) = &args.operator {
        query.push_str(&format!("&operator={}", percent_encode(operator)));
    }
    if let Some(result) = &args.result {
        query.push_str(&format!("&result={}", percent_encode(result)));
    }
    if let Some(after) = args.after {
        query.push_str(&format!("&after={after}"));
    }
    if let Some(since) = &args.since {
        let age = humantime::parse_duration(since)
            .map_err(|err| Failure::Usage(format!("invalid value {since:?} for --since: {err}")))?;
        let since_time = now.checked_sub(age).unwrap_or(UNIX_EPOCH);
        let since_time = since_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        query.push_str(&format!("&since_ms={}", since_time.as_millis()));
    }
    Ok(query)
}

fn percent_encode(text: &str) -> String {
    let is_unreserved = |b: &u8| b.is_ascii_alphanumeric() || b"-._~".contains(b);
    text.bytes()
        .map(|b| match is_unreserved(&b) {
            true => char::from(b).to_string(),
            false => format!("%{b:02X}"),
        })
        .collect()
}

fn cells(record: &AuditRecord) -> [String; 7] {
    let time = UNIX_EPOCH + Duration::from_millis(record.time_ms);
    [
        record.number.to_string(),
        humantime::format_rfc3339_seconds(time).to_string(),
        record.operator.clone(),
        record.client_addr.clone(),
        record.base.to_string(),
        record.outcome.name().to_string(),
        result_details(&record.outcome),
    ]
}

fn result_details(outcome: &AuditResult) -> String {
    match outcome {
        AuditResult::Accepted {
            version,
            differences,
            omitted,
        } => {
            let first = differences.first().map(|d| format!(": {d}"));
            let count = differences.len() + omitted;
            format!(
                "version {version}, {count} differences{}",
                first.unwrap_or_default()
            )
        }
        AuditResult::Conflict {
            version,
            changed_by,
        } => format!("version {version} by {changed_by} was accepted first"),
        AuditResult::Invalid { faults, omitted } => {
            let first = faults.first().map(|f| format!("; first: {f}"));
            format!(
                "faults in the document: {}{}",
                faults.len() + omitted,
                first.unwrap_or_default()
            )
        }
        AuditResult::KeyReused => {
            "the idempotency key was already used for another change".to_string()
        }
        AuditResult::RoleChanged {
            target,
            role,
            generation,
            reason,
        } => format!("{target} has role {role} as of order {generation}: {reason}"),
        AuditResult::RoleRefused {
            target,
            role,
            reason,
        } => format!("{target} was refused role {role}: {reason}"),
        AuditResult::Order {
            target,
            generation,
            carried_out: true,
        } => format!("{target} carried out order {generation}"),
        AuditResult::Order {
            target, generation, ..
        } => format!("{target} lost what order {generation} had set up"),
    }
}
