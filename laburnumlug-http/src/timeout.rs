//! Time limit of a future, which is not exceeded because the process did not run.

use std::fmt;
use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};

/// Delay of a timer beyond which the process has not run for a while.
pub(crate) const MAX_TIMER_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of times that a process which runs again waits for [`CATCH_UP_TIME`], as it may be paused again.
const MAX_CATCH_UPS: u32 = 4;

/// Time in which a process that runs again reads what has arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(5);

/// A future was not complete within its time limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the time limit was exceeded")
    }
}

impl std::error::Error for Elapsed {}

/// Runs `future` for at most `limit`.
///
/// An output that is ready once the limit has passed counts. [`compio::time::timeout`] asks the timer and the future in random
/// order, and a process that did not run for a while finds the timer expired before it has read an answer that arrived in
/// time. If the timer is late, what has arrived is read first.
///
/// # Errors
///
/// Fails if the future is not complete when the limit has passed.
pub async fn timeout<F>(limit: Duration, future: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    let began_at = Instant::now();
    let mut future = pin!(future);
    if let Either::Left((output, _)) =
        select(future.as_mut(), pin!(compio::time::sleep(limit))).await
    {
        return Ok(output);
    }
    if began_at.elapsed() <= limit.saturating_add(MAX_TIMER_DELAY) {
        return Err(Elapsed);
    }
    for _ in 0..MAX_CATCH_UPS {
        let began_at = Instant::now();
        let timer = pin!(compio::time::sleep(CATCH_UP_TIME));
        match select(future.as_mut(), timer).await {
            Either::Left((output, _)) => return Ok(output),
            Either::Right(_) if began_at.elapsed() <= CATCH_UP_TIME + MAX_TIMER_DELAY => break,
            Either::Right(_) => {}
        }
    }
    Err(Elapsed)
}
