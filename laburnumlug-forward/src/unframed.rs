//! Answers without a length, which a target that ends looks to have completed.

use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::PooledResponse;

use crate::crashes::MAX_CRASH_CHECK_TIME;
use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// Reason why an answer is broken whose connection was closed by the end of its target.
pub(crate) const ENDED_WITH_TARGET: &str =
    "the answer, without a length, ended with the process of its target";

/// Time within which the kernel of a target that has ended closes all its connections.
const CLOSE_TIME: Duration = Duration::from_millis(5);

impl Forwarder {
    /// Returns whether an answer that has ended was cut by the end of its target's process, whose kernel closes connections as
    /// if the answers on them were complete.
    ///
    /// Only an answer with neither a length nor chunks is in doubt. Its target is connected to, and the connection is kept for
    /// the next request: a target that has ended refuses it. One that is leaving may end with its last answer, which is whole, and
    /// one that keeps another connection open runs.
    pub(crate) async fn is_cut_by_crash(
        self: &Rc<Self>,
        response: &PooledResponse,
        target: &Rc<TargetHandle>,
    ) -> bool {
        let is_leaving = target.listing.borrow().leaving || target.status.borrow().is_leaving();
        if response.is_framed() || is_leaving || self.keeps_connection_open(target).await {
            return false;
        }
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

    /// Returns whether an idle connection to a target is open and stays so, which the end of its process closes.
    async fn keeps_connection_open(&self, target: &TargetHandle) -> bool {
        let addr = target.listing.borrow().addr;
        if !self.pool.has_open_connection(addr) {
            return false;
        }
        compio::time::sleep(CLOSE_TIME).await;
        self.pool.has_open_connection(addr)
    }
}
