//! Handler that redirects operators while the replica of this process cannot answer them and another one can.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_control::Replica;
use laburnumlug_http::{Handler, Request, Response};
use laburnumlug_mesh::Readiness;

use crate::redirect::redirect;

/// Timeout of the search for another replica that is readier; without one, the request is handled here in the rest of the second
/// for which the platform's operator waits.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(100);

/// Passes requests to `inner`, or redirects them while only another replica is ready.
pub(crate) struct ReadyRouter<H> {
    replica: Rc<Replica>,
    inner: Rc<H>,
}

impl<H> ReadyRouter<H>
where
    H: Handler,
{
    pub(crate) fn new(replica: Rc<Replica>, inner: H) -> ReadyRouter<H> {
        let inner = Rc::new(inner);
        ReadyRouter { replica, inner }
    }
}

impl<H> Handler for ReadyRouter<H>
where
    H: Handler,
{
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        // What concerns this replica alone, such as its status, is always answered here.
        let readiness = self.replica.readiness(Instant::now());
        let is_redirected =
            req.uri().path().starts_with("/config/") && readiness < Readiness::Ready;
        match self.replica.directory() {
            Some(directory) if is_redirected => {
                let (directory, inner) = (directory.clone(), self.inner.clone());
                Box::pin(async move {
                    match directory.find_readier(readiness, SEARCH_TIMEOUT).await {
                        Some(replica) => redirect(&req, replica),
                        None => inner.handle(req).await,
                    }
                })
            }
            _ => self.inner.handle(req),
        }
    }
}
