//! Store of the platform operator interface, backed by the control log.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use laburnumlug::{FleetVersion, Origin};
use laburnumlug_control::{Command, FleetChange, FleetRefusal, FleetSnapshot, Outcome, Replica};
use laburnumlug_operator::{Fault, parse_document};
use laburnumlug_platform::{FleetStore, ReplaceError};

/// Operator name under which the audit trail records changes by the platform's operator.
const OPERATOR_NAME: &str = "platform";

/// Timeout for one change. The platform's operator abandons a call after one second, with the time that redirects take.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(650);

/// Timeout for a majority of the replicas to confirm that a read returns the latest document. The platform's operator
/// abandons a read after one second too.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(650);

/// Interval between checks while this replica catches up with a version that another replica has applied.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(10);

/// Store of numbered configuration documents in the control log.
pub(crate) struct ControlLogStore {
    replica: Rc<Replica>,
    /// Version whose document was parsed last, and the origin of that document.
    ///
    /// The document of a version never changes, and parsing a large one takes many milliseconds.
    cached_origin: RefCell<Option<(FleetVersion, Option<Rc<Origin>>)>>,
}

impl ControlLogStore {
    pub(crate) fn new(replica: Rc<Replica>) -> ControlLogStore {
        ControlLogStore {
            replica,
            cached_origin: RefCell::default(),
        }
    }

    /// Returns the configuration that a document was translated from.
    ///
    /// Returns `None` if there is no document yet or it was submitted through another interface.
    fn origin(&self, fleet: &FleetSnapshot) -> Result<Option<Rc<Origin>>, Fault> {
        if fleet.version == 0 {
            return Ok(None);
        }
        let mut cached = self.cached_origin.borrow_mut();
        match &*cached {
            Some((version, origin)) if *version == fleet.version => Ok(origin.clone()),
            _ => {
                let origin = parse_document(&fleet.document)?.origin.map(Rc::new);
                *cached = Some((fleet.version, origin.clone()));
                Ok(origin)
            }
        }
    }

    /// Returns the version applied by this replica and the number of the configuration it was translated from.
    fn applied_version(&self) -> (FleetVersion, Option<u64>) {
        let fleet = self.replica.fleet();
        let origin = self.origin(&fleet).unwrap_or_else(|fault| {
            log::error!(version = fleet.version; "failed to parse the fleet document in force, treating it as one that the platform did not submit: {fault}");
            None
        });
        (fleet.version, origin.map(|origin| origin.number))
    }

    /// Submits a document, retrying after conflicts, until its number or a higher one is committed.
    ///
    /// # Errors
    ///
    /// Fails if the document is refused for another reason or [`REPLACE_TIMEOUT`] has passed.
    async fn replace_document(&self, number: u64, document: String) -> Result<(), ReplaceError> {
        let deadline = Instant::now() + REPLACE_TIMEOUT;
        loop {
            let (base, applied_number) = self.applied_version();
            if applied_number.is_some_and(|applied_number| applied_number >= number) {
                // An applied document is committed, so this or a higher number is permanently in force.
                return Ok(());
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                let reason = "no majority took the change in time";
                return Err(ReplaceError::NotConfirmed(reason.to_string()));
            }
            let change = FleetChange::new(OPERATOR_NAME, base, &document);
            let submission =
                self.replica
                    .submit_within(SystemTime::now(), Command::Fleet(change), time_left);
            match submission.await {
                Ok(Outcome::Fleet(Ok(accepted))) => {
                    log::info!(number = number, version = accepted.version; "the platform's configuration is committed in the control log");
                    return Ok(());
                }
                Ok(Outcome::Fleet(Err(FleetRefusal::Conflict { version, .. }))) => {
                    self.catch_up(version, deadline).await;
                }
                Ok(Outcome::Fleet(Err(refusal))) => {
                    return Err(ReplaceError::NotConfirmed(refusal.to_string()));
                }
                Ok(_) => return Err(ReplaceError::NotConfirmed("crossed outcome".to_string())),
                Err(err) if err.is_too_large() => {
                    return Err(ReplaceError::TooLarge(err.to_string()));
                }
                Err(err) => return Err(ReplaceError::NotConfirmed(err.to_string())),
            }
        }
    }

    /// Waits until this replica has applied a version or the deadline has passed.
    async fn catch_up(&self, version: FleetVersion, deadline: Instant) {
        while self.replica.fleet().version < version && Instant::now() < deadline {
            compio::time::sleep(CATCH_UP_INTERVAL).await;
        }
    }
}

impl FleetStore for ControlLogStore {
    fn replace(
        &self,
        number: u64,
        document: String,
    ) -> Pin<Box<dyn Future<Output = Result<(), ReplaceError>> + '_>> {
        Box::pin(self.replace_document(number, document))
    }

    fn read(&self) -> Pin<Box<dyn Future<Output = Result<Option<String>, String>> + '_>> {
        Box::pin(async {
            let snapshot = self.replica.read_fleet(CONFIRMATION_TIMEOUT).await;
            let fleet = snapshot.map_err(|err| err.to_string())?;
            let origin = self.origin(&fleet).map_err(|fault| fault.to_string())?;
            Ok(origin.map(|origin| origin.text.clone()))
        })
    }
}
