//! Answers without a length, which a target that ends looks to have completed.

use std::rc::Rc;

use laburnumlug_http::PooledResponse;

use crate::crashes::MAX_CRASH_CHECK_TIME;
use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// Reason why an answer is broken whose connection was closed by the end of its target.
pub(crate) const ENDED_WITH_TARGET: &str =
    "the answer, without a length, ended with the process of its target";

impl Forwarder {
    /// Returns whether an answer that has ended was cut by the end of its target's process, whose kernel closes connections as
    /// if the answers on them were complete.
    ///
    /// Only an answer with neither a length nor chunks is in doubt. Its target is connected to, and the connection is kept for
    /// the next request: a target that has ended refuses it. One that is leaving may end with its last answer, which is whole.
    pub(crate) async fn is_cut_by_crash(
        self: &Rc<Self>,
        response: &PooledResponse,
        target: &Rc<TargetHandle>,
    ) -> bool {
        let is_leaving = target.listing.borrow().leaving || target.status.borrow().is_leaving();
        if response.is_framed() || is_leaving {
            return false;
        }
        let checked = target.crash_checked.listen();
        self.check_for_crash(target);
        let checked = laburnumlug_http::timeout(MAX_CRASH_CHECK_TIME, checked).await;
        checked.is_ok() && target.has_crashed.get()
    }
}
