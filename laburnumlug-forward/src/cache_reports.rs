//! Reports of what engines have cached, which are sent to other gateways piece by piece.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use laburnumlug::{EngineEvent, TargetName};
use laburnumlug_policy::{CACHE_REPORT_INTERVAL, PartId, cache_reports};

use crate::forwarder::Forwarder;

/// Pieces of reports that are still to be sent.
#[derive(Default)]
pub(crate) struct CacheReportQueue {
    events: RefCell<VecDeque<EngineEvent>>,
    is_sending: Cell<bool>,
}

impl Forwarder {
    /// Sends the prompt parts that an engine has cached to the other gateways.
    pub(crate) fn report_cached_parts(
        self: &Rc<Self>,
        engine: &TargetName,
        parts: Vec<(PartId, u64)>,
    ) {
        let events = cache_reports(parts).into_iter().map(|parts| {
            let engine = engine.clone();
            EngineEvent::CacheContents { engine, parts }
        });
        self.cache_reports.events.borrow_mut().extend(events);
        if !self.cache_reports.is_sending.replace(true) {
            compio::runtime::spawn(self.clone().send_cache_reports()).detach();
        }
    }

    async fn send_cache_reports(self: Rc<Self>) {
        loop {
            let event = self.cache_reports.events.borrow_mut().pop_front();
            let Some(event) = event else {
                self.cache_reports.is_sending.set(false);
                return;
            };
            self.engine_requests.publish(event);
            compio::time::sleep(CACHE_REPORT_INTERVAL).await;
        }
    }
}
