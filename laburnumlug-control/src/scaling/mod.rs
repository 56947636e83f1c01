//! Numbers of targets that are ordered from the platform: the last order of each service and zone, in the control log.

mod ledger;
mod replica;

pub(crate) use self::ledger::ServerLedger;
pub use self::ledger::{LoggedOrder, ServerChange};
pub(crate) use self::replica::Scaling;
pub use self::replica::{ScalingTotals, ServerStatus};
