//! The control log as the store behind the platform's operator.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use laburnumlug::{FleetVersion, Origin};
use laburnumlug_control::{Command, FleetChange, FleetRefusal, FleetSnapshot, Outcome, Replica};
use laburnumlug_operator::{Fault, parse_document};
use laburnumlug_platform::FleetStore;

/// Operator that stands in the audit trail for the platform's.
const OPERATOR: &str = "platform";

/// How long one change may take; the platform's operator gives up on a call after a second.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(900);

/// How long the confirmation of a read may take, for the same reason.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two looks at a state that lags behind another replica's.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(10);

/// The control log as a store of numbered documents.
pub(crate) struct ControlStore {
    replica: Rc<Replica>,
    /// Origin of the document of a version, which never changes; parsing a large document takes many milliseconds.
    last_origin: RefCell<Option<(FleetVersion, Option<Rc<Origin>>)>>,
}

impl ControlStore {
    pub(crate) fn new(replica: Rc<Replica>) -> ControlStore {
        ControlStore {
            replica,
            last_origin: RefCell::default(),
        }
    }

    /// Returns what a document was translated from; `None` before the first, and for one of another interface.
    fn origin(&self, fleet: &FleetSnapshot) -> Result<Option<Rc<Origin>>, Fault> {
        if fleet.version == 0 {
            return Ok(None);
        }
        let mut last = self.last_origin.borrow_mut();
        match &*last {
            Some((version, origin)) if *version == fleet.version => Ok(origin.clone()),
            _ => {
                let origin = parse_document(&fleet.document)?.origin.map(Rc::new);
                *last = Some((fleet.version, origin.clone()));
                Ok(origin)
            }
        }
    }

    /// Returns the version in force here and the number of the document it was translated from.
    fn held(&self) -> (FleetVersion, Option<u64>) {
        let fleet = self.replica.fleet();
        let origin = self.origin(&fleet).unwrap_or_else(|fault| {
            log::error!(version = fleet.version; "the document in force is not understood: {fault}");
            None
        });
        (fleet.version, origin.map(|origin| origin.number))
    }

    async fn replace_document(&self, number: u64, document: String) -> Result<(), String> {
        let deadline = Instant::now() + REPLACE_TIMEOUT;
        loop {
            let (base, held) = self.held();
            if held.is_some_and(|held| held >= number) {
                // What is applied is committed, so a higher number is in force for good.
                return Ok(());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("no majority took the change in time".to_string());
            }
            let change = FleetChange::new(OPERATOR, base, &document);
            let submitted =
                self.replica
                    .submit_within(SystemTime::now(), Command::Fleet(change), left);
            match submitted.await {
                Ok(Outcome::Fleet(Ok(accepted))) => {
                    log::info!(number = number, version = accepted.version; "a configuration was accepted");
                    return Ok(());
                }
                Ok(Outcome::Fleet(Err(FleetRefusal::Conflict { version, .. }))) => {
                    self.catch_up(version, deadline).await;
                }
                Ok(Outcome::Fleet(Err(refusal))) => return Err(refusal.to_string()),
                Ok(_) => return Err("crossed outcome".to_string()),
                Err(err) => return Err(err.to_string()),
            }
        }
    }

    /// Waits until this replica has applied a version.
    async fn catch_up(&self, version: FleetVersion, deadline: Instant) {
        while self.replica.fleet().version < version && Instant::now() < deadline {
            compio::time::sleep(CATCH_UP_INTERVAL).await;
        }
    }
}

impl FleetStore for ControlStore {
    fn replace(
        &self,
        number: u64,
        document: String,
    ) -> Pin<Box<dyn Future<Output = Result<(), String>> + '_>> {
        Box::pin(self.replace_document(number, document))
    }

    fn read(&self) -> Pin<Box<dyn Future<Output = Result<Option<String>, String>> + '_>> {
        Box::pin(async {
            let read = self.replica.read_fleet(READ_TIMEOUT).await;
            let fleet = read.map_err(|err| err.to_string())?;
            let origin = self.origin(&fleet).map_err(|fault| fault.to_string())?;
            Ok(origin.map(|origin| origin.text.clone()))
        })
    }
}
