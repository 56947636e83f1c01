//! Timing model of an engine with continuous batching and a prefix cache.

mod cache;
mod model;
mod scheduler;

pub use self::cache::CacheEvent;
pub use self::model::TimingModel;
pub(crate) use self::scheduler::Scheduler;
