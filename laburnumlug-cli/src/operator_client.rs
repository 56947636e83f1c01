//! Client of the operator API of the control replicas.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use laburnumlug::{FleetVersion, Verdict};
use serde_json::Value;

use crate::exchange::{Request, Response};
use crate::failure::Failure;
use crate::operator_args::ConnectionArgs;

/// Address of the control replica if neither the command line nor the environment names any.
const DEFAULT_CONTROL_ADDR: &str = "127.0.0.1:7401";

/// Operator token that `laburnumlugd dev` accepts.
const DEV_TOKEN: &str = "dev";

/// Maximum number of rounds in which a change is sent to each replica in turn until one accepts or refuses it.
const SUBMIT_ROUNDS: u32 = 4;

/// Delay before the second round of submissions; the delay doubles before each further round.
const FIRST_ROUND_DELAY: Duration = Duration::from_millis(250);

/// Reason why a process that redirects operators has no status of a replica.
pub(crate) const NO_REPLICA: &str = "no replica";

/// The fleet document in force.
pub(crate) struct FleetDocument {
    /// Version; 0 if no document has been accepted yet.
    pub(crate) version: FleetVersion,
    /// The document as JSON text; `{}` if none has been accepted yet.
    pub(crate) text: String,
}

/// Result of querying one replica for its status.
pub(crate) struct ReplicaStatus {
    pub(crate) addr: SocketAddr,
    /// State of the replica and of the nodes that report to it, or why it could not be obtained.
    pub(crate) status: Result<Value, String>,
}

/// Client of the control replicas, any of which can answer a request. Processes without a replica redirect to one that can.
pub(crate) struct OperatorClient {
    control_addrs: Vec<SocketAddr>,
    token: String,
}

impl OperatorClient {
    /// Creates a client from command-line options, or from the environment where an option is not given.
    pub(crate) fn new(args: &ConnectionArgs) -> Result<OperatorClient> {
        let control = args
            .control
            .clone()
            .or_else(|| std::env::var("LABURNUMLUG_CONTROL").ok())
            .unwrap_or_else(|| DEFAULT_CONTROL_ADDR.to_string());
        let parse = |item: &str| {
            item.trim().parse().map_err(|_| {
                Failure::Usage(format!(
                    "invalid address {item:?} in --control; expected IP:PORT"
                ))
            })
        };
        Ok(OperatorClient {
            control_addrs: control.split(',').map(parse).collect::<Result<_, _>>()?,
            token: read_token(args)?,
        })
    }

    /// Returns the document in force and its version.
    pub(crate) async fn fleet_document(&self) -> Result<FleetDocument> {
        let response = self.query(Request::new("GET", "/fleet")).await?;
        if response.status == 404 {
            return Ok(FleetDocument {
                version: 0,
                text: "{}".to_string(),
            });
        }
        let response = require_success(response)?;
        let version = response.etag.as_deref().and_then(|etag| etag.parse().ok());
        Ok(FleetDocument {
            version: version.ok_or_else(|| {
                Failure::Refused("the response has no valid version in its etag header".into())
            })?,
            text: response.body,
        })
    }

    /// Returns the faults of a document, its differences from the document in force, and the version in force.
    pub(crate) async fn check_fleet(&self, document: &str) -> Result<Value> {
        let request = Request::new("POST", "/fleet/check").body(document);
        Ok(require_success(self.query(request).await?)?.json())
    }

    /// Returns the status of each replica, or why it could not be obtained; fails if a replica refuses the request.
    ///
    /// A process without a replica is listed as such, beside the replica to which it redirects.
    pub(crate) async fn statuses(&self) -> Result<Vec<ReplicaStatus>> {
        let mut statuses: Vec<ReplicaStatus> = Vec::new();
        for addr in &self.control_addrs {
            let request = self.authorized(Request::new("GET", "/status"));
            let (answered_addr, status) = match request.send(*addr).await? {
                Ok((addr, response)) if response.status == 200 => (addr, Ok(response.json())),
                Ok((_, response)) if response.status < 500 => {
                    return Err(refusal(&response).into());
                }
                Ok((addr, response)) => (addr, Err(response.message())),
                Err(err) => (*addr, Err(err.message)),
            };
            if answered_addr != *addr {
                let status = Err(NO_REPLICA.to_string());
                statuses.push(ReplicaStatus {
                    addr: *addr,
                    status,
                });
            }
            // Several processes may redirect to one replica.
            if statuses.iter().all(|known| known.addr != answered_addr) {
                let addr = answered_addr;
                statuses.push(ReplicaStatus { addr, status });
            }
        }
        Ok(statuses)
    }

    /// Returns the audit records that match the query as JSON lines.
    pub(crate) async fn audit(&self, query: &str) -> Result<String> {
        let request = Request::new("GET", &format!("/audit?{query}"));
        Ok(require_success(self.query(request).await?)?.body)
    }

    /// Replaces the document in force and returns the new version.
    ///
    /// All attempts carry the same idempotency key, so the change is made only once even if a response is lost.
    pub(crate) async fn put_fleet(
        &self,
        base: FleetVersion,
        key: &str,
        document: &str,
    ) -> Result<FleetVersion> {
        let request = Request::new("PUT", "/fleet")
            .header("if-match", &format!("\"{base}\""))
            .header("idempotency-key", key)
            .body(document);
        let mut verdict = Verdict::NotRun;
        let mut reason = String::new();
        for round in 0..SUBMIT_ROUNDS {
            if round > 0 {
                compio::time::sleep(FIRST_ROUND_DELAY * 2u32.pow(round - 1)).await;
            }
            for addr in &self.control_addrs {
                match self.authorized(request.clone()).send(*addr).await? {
                    Ok((_, response)) if response.status < 500 => {
                        return put_outcome(&response, base);
                    }
                    Ok((addr, response)) => {
                        verdict = verdict.combine(response.verdict());
                        reason = format!("{addr}: {}", response.message());
                    }
                    Err(err) => {
                        verdict = verdict.combine(err.verdict);
                        reason = err.message;
                    }
                }
            }
        }
        Err(match verdict {
            Verdict::NotRun => Failure::Refused(format!("nothing was changed: {reason}")),
            _ => Failure::UnknownOutcome(format!(
                "it is unknown whether the change was made ({reason}); it is safe to repeat it with --base {base} --key {key}"
            )),
        }
        .into())
    }

    /// Sends a request without side effects to each replica in turn until one answers with a status below 500 and no redirect.
    async fn query(&self, request: Request) -> Result<Response> {
        let mut reasons = Vec::new();
        for addr in &self.control_addrs {
            match self.authorized(request.clone()).send(*addr).await? {
                Ok((_, response)) if response.status < 500 => return Ok(response),
                Ok((addr, response)) => reasons.push(format!("{addr}: {}", response.message())),
                Err(err) => reasons.push(err.message),
            }
        }
        let message = format!("no control replica answered: {}", reasons.join("; "));
        Err(Failure::Refused(message).into())
    }

    fn authorized(&self, request: Request) -> Request {
        request.header("authorization", &format!("Bearer {}", self.token))
    }
}

fn read_token(args: &ConnectionArgs) -> Result<String> {
    let token = match &args.token_file {
        Some(path) => std::fs::read_to_string(path).map_err(|err| {
            Failure::Usage(format!(
                "--token-file: cannot read {}: {err}",
                path.display()
            ))
        })?,
        None => std::env::var("LABURNUMLUG_TOKEN").unwrap_or_else(|_| DEV_TOKEN.to_string()),
    };
    Ok(token.trim().to_string())
}

fn require_success(response: Response) -> Result<Response, Failure> {
    match response.status {
        200..300 => Ok(response),
        _ => Err(refusal(&response)),
    }
}

fn refusal(response: &Response) -> Failure {
    Failure::Refused(response.message())
}

/// Returns the outcome of a submission from a response with a status below 500.
fn put_outcome(response: &Response, base: FleetVersion) -> Result<FleetVersion> {
    let body = response.json();
    let error = &body["error"];
    match response.status {
        200 => Ok(body["version"].as_u64().unwrap_or_default()),
        412 => {
            let changed_by = error["changed_by"].as_str().unwrap_or("another operator");
            let version = &error["version"];
            Err(Failure::Conflict(format!(
                "{changed_by}'s change won: version {version} is in force, yours was based on {base}"
            ))
            .into())
        }
        422 => {
            let faults = serde_json::from_value(error["faults"].clone());
            Err(Failure::InvalidDocument(faults.unwrap_or_default()).into())
        }
        _ => Err(Failure::Refused(response.message()).into()),
    }
}
