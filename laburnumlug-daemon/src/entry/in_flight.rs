//! Limits on the requests in flight at an entry.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug::CallerName;
use laburnumlug_caller::ApiError;

/// Maximum number of requests in flight at one entry.
const MAX_REQUESTS: usize = 4096;

/// Maximum number of requests in flight per caller.
const MAX_REQUESTS_PER_CALLER: usize = 1024;

/// Retry delay suggested to a caller whose request exceeds a limit.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits the number of requests in flight.
#[derive(Default)]
pub(crate) struct InFlightLimiter {
    in_flight: RefCell<InFlight>,
}

#[derive(Default)]
struct InFlight {
    requests: usize,
    by_caller: HashMap<CallerName, usize>,
}

impl InFlightLimiter {
    /// Admits a request, which counts as in flight until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns an overload error if the request would exceed a limit.
    pub(crate) fn admit(self: &Rc<Self>, caller: &str) -> Result<InFlightPermit, ApiError> {
        let mut in_flight = self.in_flight.borrow_mut();
        let caller_requests = in_flight.by_caller.get(caller).copied().unwrap_or(0);
        let exceeded = match () {
            () if caller_requests >= MAX_REQUESTS_PER_CALLER => Some("requests of this caller"),
            () if in_flight.requests >= MAX_REQUESTS => Some("requests"),
            () => None,
        };
        if let Some(what) = exceeded {
            let message = format!("too many {what} are in flight");
            return Err(ApiError::overloaded(&message, RETRY_AFTER));
        }
        in_flight.requests += 1;
        in_flight
            .by_caller
            .insert(caller.to_string(), caller_requests + 1);
        Ok(InFlightPermit {
            limiter: self.clone(),
            caller: caller.to_string(),
        })
    }
}

/// Permit of one request in flight, which releases its share of the limits on drop.
pub(crate) struct InFlightPermit {
    limiter: Rc<InFlightLimiter>,
    caller: CallerName,
}

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        let mut in_flight = self.limiter.in_flight.borrow_mut();
        in_flight.requests -= 1;
        if let Some(count) = in_flight.by_caller.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                in_flight.by_caller.remove(&self.caller);
            }
        }
    }
}

#[cfg(test)]
#[path = "in_flight_tests.rs"]
mod tests;
