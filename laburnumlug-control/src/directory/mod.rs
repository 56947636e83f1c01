//! Directory of the control processes, which each of them keeps and completes by asking others.

mod bootstrap_grant;
mod contacts;
mod serve;
mod service;
mod status;

pub use self::serve::serve_directory;
pub use self::service::DirectoryService;
pub(crate) use self::service::ReplicaState;
pub use self::status::{DirectoryStatus, SeedStatus};
