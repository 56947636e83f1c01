//! Reports of the usage of customers to the platform.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use laburnumlug::{CustomerCounts, FencingToken, VmName, WindowNumber};
use laburnumlug_control::{Command, DutyHolder, Outcome, Replica, UsageFix, UsageFixOutcome};
use laburnumlug_platform::{DutyClient, DutyTicket};
use laburnumlug_policy::{ReportResult, ReportSchedule};

use crate::leadership::{HandoverTime, Leadership};

/// Interval between checks whether a window can be fixed or reported; windows last seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after a window could not be fixed, as while too many windows wait to be reported.
const FIX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout for a command to be committed.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Fixes the usage of windows in the control log, and reports what is fixed to the platform, while this replica leads.
pub(crate) struct UsageDuty {
    replica: Rc<Replica>,
    client: Rc<dyn DutyClient>,
    /// Name of this replica's VM.
    holder: VmName,
    leadership: Leadership,
    schedule: RefCell<ReportSchedule>,
}

impl UsageDuty {
    /// Starts the tasks of the duty.
    pub(crate) fn start(
        replica: Rc<Replica>,
        client: Rc<dyn DutyClient>,
        holder: &str,
        handover: Rc<HandoverTime>,
    ) {
        let duty = Rc::new(UsageDuty {
            leadership: Leadership::new(replica.clone(), handover),
            replica,
            client,
            holder: holder.to_string(),
            schedule: RefCell::default(),
        });
        // A slow platform must not delay the fixing of windows: a successor reports them if this replica fails.
        compio::runtime::spawn(duty.clone().run_fixing()).detach();
        compio::runtime::spawn(duty.run_reporting()).detach();
    }

    async fn run_fixing(self: Rc<Self>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            if !self.replica.is_leader(now) {
                continue;
            }
            if let Some(fix) = self.replica.due_usage(now)
                && !self.fix(now, fix).await
            {
                compio::time::sleep(FIX_RETRY_DELAY).await;
            }
        }
    }

    /// Logs the counts of a window; if another leader has done that before, its counts stay. Returns `false` if there is no
    /// room for them.
    async fn fix(&self, now: Instant, fix: UsageFix) -> bool {
        let window = fix.window;
        let customers = fix.counts.len();
        let requests: u64 = fix.counts.values().sum();
        let since_end = self.replica.time_since_window(now, window);
        let since_end_ms = since_end.map(|time| time.as_millis() as u64);
        let command = Command::FixUsage(fix);
        let submission = self
            .replica
            .submit_within(SystemTime::now(), command, SUBMIT_TIMEOUT);
        match submission.await {
            Ok(Outcome::UsageFix(UsageFixOutcome::Fixed)) => {
                self.replica.record_usage_fixed();
                log::info!(
                    window = window, customers = customers, requests = requests, since_end_ms = since_end_ms;
                    "fixed the usage of a window"
                );
                true
            }
            Ok(Outcome::UsageFix(UsageFixOutcome::Full)) => {
                log::error!(
                    window = window, customers = customers, requests = requests;
                    "the usage of a window cannot be fixed: too many windows wait to be reported"
                );
                false
            }
            Ok(_) => {
                log::info!(window = window; "the usage of a window had been fixed before");
                true
            }
            Err(err) => {
                log::warn!(
                    window = window; "the usage of a window may not have been fixed, trying again: {err}"
                );
                true
            }
        }
    }

    async fn run_reporting(self: Rc<Self>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let since = self.leadership.leading_since(now);
            let acting_term = self.leadership.acting_term(now);
            self.publish_holder(since, acting_term.is_some());
            let Some(term) = acting_term else {
                self.schedule.take();
                continue;
            };
            let pending = self.replica.pending_usage();
            let next = self.schedule.borrow_mut().next(now, pending.into_iter());
            let counts = next.and_then(|window| {
                let counts = self.replica.pending_usage_counts(window)?;
                Some((window, counts))
            });
            if let Some((window, counts)) = counts {
                self.report(term, window, counts).await;
            }
        }
    }

    fn publish_holder(&self, since: Option<Instant>, is_acting: bool) {
        let (term, _) = self.replica.term_and_commit_index();
        let holder = since.map(|since| DutyHolder {
            holder: self.holder.clone(),
            fence: term,
            since,
            is_acting,
        });
        self.replica.set_duty_holder(holder);
    }

    /// Reports one window, if a majority confirms that this replica leads, and logs that the platform has accepted it.
    async fn report(&self, term: FencingToken, window: WindowNumber, counts: CustomerCounts) {
        let started_at = Instant::now();
        let Some(permit) = self.leadership.confirm(term).await else {
            log::warn!(window = window; "sent no usage report: no majority of the replicas confirmed in time that this replica still leads");
            return;
        };
        let ticket = DutyTicket {
            holder: self.holder.clone(),
            fence: permit.fence,
            expires_at: permit.expires_at,
        };
        let result = self.client.report_usage(ticket, window, &counts).await;
        let now = Instant::now();
        let since_end = self.replica.time_since_window(now, window);
        let since_end_ms = since_end.map(|time| time.as_millis() as u64);
        let taken_ms = now.saturating_duration_since(started_at).as_millis() as u64;
        let outcome = match &result {
            Ok(()) => ReportResult::Accepted,
            Err(err) if err.is_rejection() => ReportResult::Rejected,
            Err(_) => ReportResult::Unknown,
        };
        match &result {
            Ok(()) => {
                self.replica.record_usage_reported(since_end);
                log::info!(
                    window = window, fence = permit.fence, since_end_ms = since_end_ms, taken_ms = taken_ms;
                    "reported the usage of a window"
                );
                self.acknowledge(window).await;
            }
            Err(err) if err.is_rejection() => log::error!(
                window = window, fence = permit.fence, taken_ms = taken_ms;
                "the platform rejected the usage of a window, which is sent again later: {err}"
            ),
            Err(err) => log::warn!(
                window = window, fence = permit.fence, taken_ms = taken_ms;
                "the usage of a window may not have been accepted, and is sent again: {err}"
            ),
        }
        let now = Instant::now();
        let mut schedule = self.schedule.borrow_mut();
        schedule.record(started_at, now, window, outcome);
    }

    /// Logs that the platform has accepted a window. If that fails, the same report is sent again.
    async fn acknowledge(&self, window: WindowNumber) {
        let command = Command::AcknowledgeUsage { window };
        let submission = self
            .replica
            .submit_within(SystemTime::now(), command, SUBMIT_TIMEOUT);
        if let Err(err) = submission.await {
            log::warn!(window = window; "the acceptance of a usage report may not have been logged: {err}");
        }
    }
}
