//! Duties: calls to the platform that only one machine makes at a time, the one that leads the control log.

mod scaling;
mod scaling_view;
mod usage;

pub(crate) use self::scaling::ScalingDuty;
pub(crate) use self::usage::UsageDuty;
