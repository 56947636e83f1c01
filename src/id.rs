//! Type aliases for identifiers that the crates of the workspace share.

/// Id of one request, chosen by the entry that received it and returned to the caller.
pub type RequestId = String;

/// Number of an attempt at one request, counted from 1.
pub type AttemptNumber = u32;

/// Name of a target in the fleet document.
pub type TargetName = String;

/// Name of a service in the fleet document.
pub type ServiceName = String;

/// Version of the software that a target runs.
pub type SoftwareVersion = String;

/// Name of a VM in the platform's VM list.
pub type VmName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name under which a caller's requests are counted.
pub type CallerName = String;

/// Name of a customer in the fleet document.
pub type CustomerName = String;

/// Version of the fleet document; incremented by one with each accepted change.
pub type FleetVersion = u64;

/// Fencing token that orders the commands to one target; a larger one supersedes all smaller ones.
pub type FencingToken = u64;

/// Random number that distinguishes successive incarnations of a process or replica.
pub type Incarnation = u64;

/// Key chosen by the caller for a request that may run at most once.
pub type IdempotencyKey = String;

/// Number of a window in which requests are counted; it begins that many window lengths after the start of 1970.
pub type WindowNumber = u64;
