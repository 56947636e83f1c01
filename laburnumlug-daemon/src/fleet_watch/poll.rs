//! Polling of one control replica for the fleet document and the live targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug::{DemandReport, FleetVersion, ListedGateway, ReadTime, UsageReport};
use laburnumlug_mesh::{
    CompressedText, Connection, ControlMessage, Message, TargetsReport, VotingStatus,
};

use super::control_addrs::Poll;
use super::{FleetWatch, REFERRAL_INTERVAL, apply_fleet_answer, apply_targets_report};

/// Timeout for one answer of a replica, or for its next bytes where it may contain a document.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the first attempt to connect to a replica; it doubles with each failure up to [`ANSWER_TIMEOUT`]. A
/// SYN to a machine that is still starting is lost, and TCP retransmits it only after a second.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for an answer that may contain a document, which can be megabytes over a slow link.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Polls one control process, reconnecting after failures, until it has ended for good.
pub(super) async fn poll_replica(watch: FleetWatch, poll: Poll) {
    let addr = poll.addr;
    let mut timeout = FIRST_CONNECT_TIMEOUT;
    loop {
        let connecting_at = Instant::now();
        match Connection::connect(addr, &watch.mesh.key, timeout).await {
            Ok(conn) => {
                timeout = FIRST_CONNECT_TIMEOUT;
                watch.record_contact(addr, true);
                poll_connection(&watch, poll, conn).await;
                watch.record_contact(addr, false);
            }
            Err(err) => {
                watch.record_contact(addr, false);
                timeout = (timeout * 2).min(ANSWER_TIMEOUT);
                log::debug!("failed to connect to control replica {addr}: {err}");
            }
        }
        if watch.end_if_unneeded(poll) {
            log::info!(replica = addr.to_string().as_str(); "no longer polling a control process that does not answer or holds no replica");
            return;
        }
        // An attempt that has waited for its timeout is repeated at once, as the path may be back by now.
        let next_attempt_at = connecting_at + watch.poll_interval();
        let wait = next_attempt_at.saturating_duration_since(Instant::now());
        compio::time::sleep(wait).await;
    }
}

/// Polls one control process over a connection until an exchange fails or times out.
async fn poll_connection(watch: &FleetWatch, poll: Poll, mut conn: Connection) {
    let state = &*watch.state;
    let mut reports_targets = false;
    let mut targets_requested_at: Option<Instant> = None;
    // The replica may have been restarted since the last connection, so everything that is kept is reported again.
    let mut acknowledged_usage = 0;
    let mut holds_replica = true;
    loop {
        // Concurrent transfers of one large document from several replicas would delay each other, so one replica at a
        // time is asked for it. The others are told that the highest possible version is known, so they send none.
        let requested_at = ReadTime::now();
        let fetches_document = state.borrow().may_fetch_document(requested_at.monotonic);
        let known = match fetches_document {
            true => state.borrow().view_version(),
            false => FleetVersion::MAX,
        };
        if fetches_document {
            state.borrow_mut().fetching_since = Some(requested_at.monotonic);
        }
        let observer = state.borrow().observer.clone();
        let usage = observer
            .as_ref()
            .filter(|_| holds_replica)
            .and_then(|o| o.usage_report(acknowledged_usage));
        // Most requests for the document get a short answer, as there is no newer one. Waiting longer for the first bytes
        // would leave the view unconfirmed for seconds after a partition.
        let fetch = fetch_fleet(&mut conn, known, usage.as_ref().map(|u| u.report.clone()));
        let answer = laburnumlug_http::timeout(DOCUMENT_TIMEOUT, fetch).await;
        if fetches_document {
            state.borrow_mut().fetching_since = None;
        }
        match answer {
            Ok(Some(FleetReply::Referral(replicas))) => {
                holds_replica = false;
                watch.record_referral(poll.addr, &replicas);
                let now = Instant::now();
                if !state.borrow().addrs.is_needed(now, poll.addr) {
                    return;
                }
                let is_confirmed = state.borrow().is_confirmed(now);
                let interval = match is_confirmed {
                    true => REFERRAL_INTERVAL,
                    false => watch.poll_interval(),
                };
                compio::time::sleep(interval).await;
                continue;
            }
            Ok(Some(FleetReply::Answer(answer))) => {
                holds_replica = true;
                watch.record_answer(poll.addr, &answer.voting_status);
                if let (Some(observer), Some(usage)) = (&observer, &usage) {
                    acknowledged_usage = usage.last_change;
                    if let Some(time_ms) = answer.time_ms {
                        let voters = answer.voting_status.voters.len();
                        let unix_time = Duration::from_millis(time_ms);
                        observer.usage_acknowledged(poll.number, usage, unix_time, voters);
                    }
                }
                apply_fleet_answer(&mut state.borrow_mut(), poll.number, requested_at, answer);
            }
            _ => return,
        }
        let now = Instant::now();
        let interval = state.borrow().base_interval(now);
        let has_passed = |at| now.saturating_duration_since(at) >= interval;
        let is_due = targets_requested_at.is_none_or(has_passed);
        if is_due && (reports_targets || state.borrow().needs_targets(now)) {
            let known = state.borrow().targets_digest;
            let requested_at = ReadTime::now();
            targets_requested_at = Some(requested_at.monotonic);
            let own_listing = observer.as_ref().and_then(|o| o.own_listing());
            let demand = observer.and_then(|o| o.demand_report());
            let fetch = fetch_targets(&mut conn, known, own_listing, demand);
            match laburnumlug_http::timeout(ANSWER_TIMEOUT, fetch).await {
                Ok(Some(report)) => {
                    reports_targets = report.is_some();
                    if let Some(report) = report {
                        apply_targets_report(&mut state.borrow_mut(), requested_at, report);
                    }
                }
                _ => return,
            }
        }
        compio::time::sleep(watch.poll_interval()).await;
    }
}

/// Reply of a control process to a request for the fleet document.
enum FleetReply {
    Answer(FleetAnswer),
    /// The process holds no replica and knows these ones.
    Referral(Vec<SocketAddr>),
}

/// Answer of one replica to a request for the fleet document.
pub(super) struct FleetAnswer {
    pub(super) voting_status: VotingStatus,
    pub(super) logged_change: u64,
    pub(super) applied_change: u64,
    pub(super) version: FleetVersion,
    pub(super) document: Option<CompressedText>,
    /// Unix time of the replica, if the request contained counts.
    pub(super) time_ms: Option<u64>,
}

/// Reports counts and requests the fleet document if it is newer than version `known`; returns `None` if the exchange fails
/// or the replica stops sending.
async fn fetch_fleet(
    conn: &mut Connection,
    known: FleetVersion,
    usage: Option<UsageReport>,
) -> Option<FleetReply> {
    let request = Message::Control(ControlMessage::FetchFleet { known, usage });
    conn.send("", &request).await.ok()?;
    match conn.recv_unless_idle(ANSWER_TIMEOUT).await {
        Ok((
            _,
            Message::Control(ControlMessage::Fleet {
                voting_status,
                logged_change,
                applied_change,
                version,
                document,
                time_ms,
            }),
        )) => Some(FleetReply::Answer(FleetAnswer {
            voting_status,
            logged_change,
            applied_change,
            version,
            document,
            time_ms,
        })),
        Ok((_, Message::Control(ControlMessage::Referral { replicas }))) => {
            Some(FleetReply::Referral(replicas))
        }
        _ => None,
    }
}

/// Requests the list of live targets unless its digest is still `known`.
///
/// Returns `None` if the exchange fails, and `Some(None)` if the replica has no recent list.
async fn fetch_targets(
    conn: &mut Connection,
    known: u64,
    gateway: Option<ListedGateway>,
    demand: Option<DemandReport>,
) -> Option<Option<TargetsReport>> {
    let request = Message::Control(ControlMessage::FetchTargets {
        known,
        gateway_addr: gateway.as_ref().map(|gateway| gateway.addr),
        gateway_zone: gateway.and_then(|gateway| gateway.zone),
        demand,
    });
    conn.send("", &request).await.ok()?;
    match conn.recv().await {
        Ok((_, Message::Control(ControlMessage::Targets(report)))) => Some(report),
        _ => None,
    }
}
