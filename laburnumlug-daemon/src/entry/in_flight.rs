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

/// Maximum total size of the request bodies in flight, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Retry delay suggested to a caller whose request exceeds a limit.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits the number of requests in flight and the memory of their bodies.
#[derive(Default)]
pub(crate) struct InFlightLimiter {
    in_flight: RefCell<InFlight>,
}

#[derive(Default)]
struct InFlight {
    requests: usize,
    body_bytes: usize,
    by_caller: HashMap<CallerName, usize>,
}

impl InFlightLimiter {
    /// Admits a request with a body of `body_bytes` bytes, which counts as in flight until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns an overload error if the request would exceed a limit. The body need not have been read yet.
    pub(crate) fn admit(
        self: &Rc<Self>,
        caller: &str,
        body_bytes: usize,
    ) -> Result<InFlightPermit, ApiError> {
        let mut in_flight = self.in_flight.borrow_mut();
        let caller_requests = in_flight.by_caller.get(caller).copied().unwrap_or(0);
        let exceeded = match () {
            () if caller_requests >= MAX_REQUESTS_PER_CALLER => Some("requests of this caller"),
            () if in_flight.requests >= MAX_REQUESTS => Some("requests"),
            () if in_flight.body_bytes + body_bytes > MAX_BODY_BYTES => Some("bytes of requests"),
            () => None,
        };
        if let Some(what) = exceeded {
            let message = format!("too many {what} are in flight");
            return Err(ApiError::overloaded(&message, RETRY_AFTER));
        }
        in_flight.requests += 1;
        in_flight.body_bytes += body_bytes;
        in_flight
            .by_caller
            .insert(caller.to_string(), caller_requests + 1);
        Ok(InFlightPermit {
            limiter: self.clone(),
            caller: caller.to_string(),
            body_bytes,
        })
    }
}

/// Permit of one request in flight, which releases its share of the limits on drop.
pub(crate) struct InFlightPermit {
    limiter: Rc<InFlightLimiter>,
    caller: CallerName,
    body_bytes: usize,
}

impl InFlightPermit {
    /// Reduces the accounted body size to `body_bytes`; a larger value has no effect.
    pub(crate) fn shrink_body(&mut self, body_bytes: usize) {
        let mut in_flight = self.limiter.in_flight.borrow_mut();
        in_flight.body_bytes -= self.body_bytes.saturating_sub(body_bytes);
        self.body_bytes = self.body_bytes.min(body_bytes);
    }
}

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        let mut in_flight = self.limiter.in_flight.borrow_mut();
        in_flight.requests -= 1;
        in_flight.body_bytes -= self.body_bytes;
        if let Some(count) = in_flight.by_caller.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                in_flight.by_caller.remove(&self.caller);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn admit_one_caller_at_limit() {
        let limiter = Rc::<InFlightLimiter>::default();
        let permits: Vec<InFlightPermit> = (0..MAX_REQUESTS_PER_CALLER)
            .map(|_| limiter.admit("anna", 0).unwrap())
            .collect();
        assert_eq!(
            limiter.admit("anna", 0).err().map(|e| e.status()),
            Some(429)
        );
        assert!(limiter.admit("bent", 0).is_ok());
        drop(permits);
        assert!(limiter.admit("anna", 0).is_ok());
    }

    #[test]
    fn admit_bytes_at_limit() {
        let limiter = Rc::<InFlightLimiter>::default();
        let mut permit = limiter.admit("anna", MAX_BODY_BYTES).unwrap();
        assert!(limiter.admit("bent", 1).is_err());
        permit.shrink_body(MAX_BODY_BYTES - 1);
        assert!(limiter.admit("bent", 1).is_ok());
    }

    quickcheck! {
        fn drop_releases_everything(sizes: Vec<(u8, u16, u16)>) -> bool {
            let limiter = Rc::<InFlightLimiter>::default();
            let permits: Vec<InFlightPermit> = sizes
                .into_iter()
                .filter_map(|(caller, bytes, shrunk_bytes)| {
                    let mut permit = limiter.admit(&caller.to_string(), bytes.into()).ok()?;
                    permit.shrink_body(shrunk_bytes.into());
                    Some(permit)
                })
                .collect();
            let sum: usize = permits.iter().map(|permit| permit.body_bytes).sum();
            let exact = limiter.in_flight.borrow().body_bytes == sum;
            drop(permits);
            let in_flight = limiter.in_flight.borrow();
            exact && in_flight.requests == 0 && in_flight.body_bytes == 0 && in_flight.by_caller.is_empty()
        }
    }
}
