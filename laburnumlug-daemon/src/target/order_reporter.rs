//! Reports the results of orders to the control log.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{FencingToken, TargetName};
use laburnumlug_mesh::{NodeCommand, OrderReport, OrderResult};

use crate::control_client::ControlClient;

/// Timeout for submitting one report; the next round submits it again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Submits reports in background tasks, so that orders never wait for the control log.
pub(super) struct OrderReporter {
    control: Rc<ControlClient>,
    target: TargetName,
    state: Rc<ReporterState>,
}

#[derive(Default)]
struct ReporterState {
    /// The last report that the control log contains.
    last_logged: RefCell<Option<OrderReport>>,
    /// Whether a report is being submitted.
    is_submitting: Cell<bool>,
}

impl OrderReporter {
    pub(super) fn new(control: Rc<ControlClient>, target: &str) -> OrderReporter {
        OrderReporter {
            control,
            target: target.to_string(),
            state: Rc::default(),
        }
    }

    /// Reports the result of an order, unless the control log already has that report or another is being submitted.
    pub(super) fn report(&self, generation: FencingToken, result: OrderResult) {
        let report = OrderReport {
            target: self.target.clone(),
            generation,
            result,
        };
        if self.state.is_submitting.get()
            || self.state.last_logged.borrow().as_ref() == Some(&report)
        {
            return;
        }
        self.state.is_submitting.set(true);
        compio::runtime::spawn(submit_report(
            self.control.clone(),
            self.state.clone(),
            report,
        ))
        .detach();
    }

    /// Reports that the engine lost the setup of the last logged report.
    pub(super) fn report_loss(&self) {
        let last_logged = self.state.last_logged.borrow().clone();
        if let Some(last_logged) = last_logged {
            self.report(last_logged.generation, OrderResult::Lost);
        }
    }
}

async fn submit_report(control: Rc<ControlClient>, state: Rc<ReporterState>, report: OrderReport) {
    let command = NodeCommand::ReportOrder(report.clone());
    match control
        .submit(Instant::now() + REPORT_TIMEOUT, command)
        .await
    {
        Ok(_) => *state.last_logged.borrow_mut() = Some(report),
        Err(err) => log::warn!(
            "failed to report the result of order {} to the control log, retrying: {err}",
            report.generation
        ),
    }
    state.is_submitting.set(false);
}
