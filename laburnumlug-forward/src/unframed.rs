//! Answers without a length, which a target that ends looks to have completed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use laburnumlug_http::PooledResponse;

use crate::crashes::MAX_CRASH_CHECK_TIME;
use crate::forwarder::Forwarder;
use crate::probe::PROBE_TIMEOUT;
use crate::registry::TargetHandle;

/// Reason why an answer is broken whose connection was closed by the end of its target.
pub(crate) const ENDED_WITH_TARGET: &str =
    "the answer, without a length, ended with the process of its target";

/// Time within which the kernel of a target that has ended closes all its connections.
const CLOSE_TIME: Duration = Duration::from_millis(5);

/// Time within which the ends of all connections of a target that has ended are seen, on a busy machine too.
const END_SPAN: Duration = Duration::from_millis(10);

/// Check whether the instance of a target runs, which several answers may wait for.
pub(crate) type RunCheck = Shared<LocalBoxFuture<'static, bool>>;

/// Counts the exchange of an answer in doubt as examined until it is dropped.
struct Examination(Rc<TargetHandle>);

impl Examination {
    fn start(target: &Rc<TargetHandle>, ended_at: Instant) -> Examination {
        let mut ends = target.exchange_ends.borrow_mut();
        ends.begin_examination(ended_at);
        Examination(target.clone())
    }
}

impl Drop for Examination {
    fn drop(&mut self) {
        self.0.exchange_ends.borrow_mut().finish_examination();
    }
}

/// Returns whether other exchanges with a target ended together with the one that ended at `ended_at`, as at the end of its
/// process.
async fn looks_ended(target: &TargetHandle, ended_at: Instant) -> bool {
    compio::time::sleep(END_SPAN.saturating_sub(ended_at.elapsed())).await;
    let ends = target.exchange_ends.borrow();
    ends.is_end_of_process(ended_at, END_SPAN)
}

impl Forwarder {
    /// Returns whether an answer that has ended was cut by the end of its target's process, whose kernel closes connections as
    /// if the answers on them were complete.
    ///
    /// Only an answer with neither a length nor chunks is in doubt, and only if its target keeps no other connection open.
    pub(crate) async fn is_cut_by_crash(
        self: &Rc<Self>,
        response: &PooledResponse,
        target: &Rc<TargetHandle>,
    ) -> bool {
        if response.is_framed() {
            return false;
        }
        let ended_at = Instant::now();
        let _examination = Examination::start(target, ended_at);
        if self.keeps_connection_open(target).await {
            return false;
        }
        let is_leaving = target.listing.borrow().leaving || target.status.borrow().is_leaving();
        // One that is leaving may end with its last answer, which is whole.
        if !is_leaving && self.refuses_connections(target).await {
            return true;
        }
        if !looks_ended(target, ended_at).await {
            return false;
        }
        // The socket of a process that has ended may be kept for its successor, which then accepts connections.
        let is_cut = !self.is_running(target).await;
        log::info!(
            target = target.instance.as_str(), leaving = is_leaving, cut = is_cut;
            "answers without a length ended together: checked whether their target runs"
        );
        is_cut
    }

    /// Returns whether an idle connection to a target is open and stays so, which the end of its process closes.
    async fn keeps_connection_open(&self, target: &TargetHandle) -> bool {
        let addr = target.listing.borrow().addr;
        if !self.pool.has_open_connection(addr) {
            return false;
        }
        compio::time::sleep(CLOSE_TIME).await;
        self.pool.has_open_connection(addr)
    }

    /// Returns whether a target refuses a connection, which is kept for the next request otherwise.
    async fn refuses_connections(self: &Rc<Self>, target: &Rc<TargetHandle>) -> bool {
        if target.is_checked_for_crash.get() {
            // That check may have connected before the target ended.
            let checked = target.crash_checked.listen();
            let _ = laburnumlug_http::timeout(MAX_CRASH_CHECK_TIME, checked).await;
        }
        let checked = target.crash_checked.listen();
        self.check_for_crash(target);
        let checked = laburnumlug_http::timeout(MAX_CRASH_CHECK_TIME, checked).await;
        checked.is_ok() && target.has_crashed.get()
    }

    /// Returns whether the instance of a target answers a health check.
    async fn is_running(&self, target: &TargetHandle) -> bool {
        let running = target.run_check.borrow().clone();
        let check = match running.filter(|check| check.peek().is_none()) {
            Some(check) => check,
            None => {
                let check = self.start_run_check(target);
                *target.run_check.borrow_mut() = Some(check.clone());
                check
            }
        };
        check.await
    }

    fn start_run_check(&self, target: &TargetHandle) -> RunCheck {
        let listing = target.listing.borrow().clone();
        let path = self.health_path(&listing.service);
        let answer = self
            .inspector
            .check_health(listing.addr, listing.instance, path);
        let check = async move {
            let answer = laburnumlug_http::timeout(PROBE_TIMEOUT, answer).await;
            answer.is_ok_and(|answer| answer.is_answered)
        };
        check.boxed_local().shared()
    }
}
