/*!
Types shared by all crates of the laburnumlug serving system.

The other crates of the workspace use these types, and so do programs that embed parts of the system:

```
use laburnumlug::{Verdict, pieces_for_tokens};

// A request that was refused before any target accepted it may be retried anywhere.
assert!(Verdict::NotRun.permits_retry(false));

// A request that must run at most once is not retried once it may have run.
assert!(!Verdict::MayHaveRun.permits_retry(false));

// Engine capacity is measured in pieces of 1,024 tokens, rounded up.
assert_eq!(pieces_for_tokens(1025), 2);
```

# Overview

A [`Verdict`] states whether a request may have run. Every error of the system that concerns a request
carries one, and so does every answer to a caller.

A [`FleetDocument`] describes the desired state of the fleet, as set by operators. Its types are generated from
`schema/fleet.json`.

A [`QuorumConfirmation`] tells when a local copy of replicated state was last known to be up to date, from the
answers of a majority of control replicas. [`BootTime`] is a clock that does not stop while the machine is suspended, and
[`ReadTime`] the time at which information was requested. A [`ReadTurn`] bounds what a task reads before other tasks run.

Type aliases ([`RequestId`], [`TargetName`], …) name the identifiers that the crates share.
*/

mod boot_time;
mod capacity;
mod confirmation;
mod engine_demand;
mod engine_event;
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
mod generated;
mod id;
mod listed_gateway;
mod live_target;
mod read_time;
mod read_turn;
mod software_record;
mod usage_report;
mod verdict;
mod voting_status;

pub use crate::boot_time::BootTime;
pub use crate::capacity::{TOKENS_PER_PIECE, pieces_for_tokens};
pub use crate::confirmation::QuorumConfirmation;
pub use crate::engine_demand::{DemandReport, EngineTime};
pub use crate::engine_event::{CustomerId, EngineEvent, SendNumber, StreamId, StreamOrigin};
pub use crate::generated::{
    Adapter, AdmissionPolicy, CallerLimits, ControlVm, Customer, EngineTraits, FleetDocument,
    Forwarding, LoadedModel, Model, Origin, Policy, Repetition, Role, RoleFloors, Route,
    RoutingPolicy, Scaling, Service, ServiceKind, ServiceShare, Target, TargetState,
};
pub use crate::id::{
    AttemptNumber, CallerName, CustomerName, FencingToken, FleetVersion, IdempotencyKey,
    Incarnation, RequestId, ServiceName, SoftwareVersion, TargetName, VmName, WindowNumber,
    ZoneName,
};
pub use crate::listed_gateway::ListedGateway;
pub use crate::live_target::{LiveTarget, TargetList};
pub use crate::read_time::ReadTime;
pub use crate::read_turn::ReadTurn;
pub use crate::software_record::SoftwareRecord;
pub use crate::usage_report::{CustomerCounts, UsageReport};
pub use crate::verdict::{ParseVerdictError, Verdict};
pub use crate::voting_status::{ReplicaId, VotingStatus};
