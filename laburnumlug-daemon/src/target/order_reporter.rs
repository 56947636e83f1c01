//! Reports to the control log what came of orders.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{FencingToken, TargetName};
use laburnumlug_mesh::{NodeCommand, OrderReport, OrderResult};

use crate::control_client::ControlClient;

/// How long one report is tried before the next round makes it again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Reports to the control log, beside the orders and never in their way.
pub(super) struct OrderReporter {
    control: Rc<ControlClient>,
    target: TargetName,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    /// The last report that the log has.
    logged: RefCell<Option<OrderReport>>,
    /// Whether a report is on its way.
    busy: Cell<bool>,
}

impl OrderReporter {
    pub(super) fn new(control: Rc<ControlClient>, target: &str) -> OrderReporter {
        OrderReporter {
            control,
            target: target.to_string(),
            state: Rc::default(),
        }
    }

    /// Reports what the engine has of an order, unless the log has that report already.
    pub(super) fn report(&self, generation: FencingToken, result: OrderResult) {
        let report = OrderReport {
            target: self.target.clone(),
            generation,
            result,
        };
        if self.state.busy.get() || self.state.logged.borrow().as_ref() == Some(&report) {
            return;
        }
        self.state.busy.set(true);
        compio::runtime::spawn(submit(self.control.clone(), self.state.clone(), report)).detach();
    }

    /// Reports that the engine lost what it was last known to have.
    pub(super) fn report_loss(&self) {
        let held = self.state.logged.borrow().clone();
        if let Some(held) = held {
            self.report(held.generation, OrderResult::Lost);
        }
    }
}

async fn submit(control: Rc<ControlClient>, state: Rc<State>, report: OrderReport) {
    let command = NodeCommand::ReportOrder(report.clone());
    match control
        .submit(Instant::now() + REPORT_TIMEOUT, command)
        .await
    {
        Ok(_) => *state.logged.borrow_mut() = Some(report),
        Err(err) => log::warn!("report of order {}: {err}", report.generation),
    }
    state.busy.set(false);
}
