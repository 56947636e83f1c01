/*!
Shared vocabulary of the laburnumlug serving system.

Other packages of the workspace build on the types here, and programs that embed parts of the system
start from them:

```
use laburnumlug::{Verdict, pieces_for_tokens};

// A refusal that came before any target took the request may be retried anywhere.
assert!(Verdict::NotRun.permits_retry(false));

// A request that must run at most once is not retried once it may have run.
assert!(!Verdict::MayHaveRun.permits_retry(false));

// Engine capacity is counted in pieces of 1,024 tokens, rounded up.
assert_eq!(pieces_for_tokens(1025), 2);
```

# Overview

A [`Verdict`] states whether a request may have run. Every error of the system that concerns a request
carries one, and so does every answer to a caller.

A [`FleetDocument`] describes the fleet as operators intend it. Its types are generated from
`schema/fleet.json`.

A [`Confirmation`] proves that a held view is the newest, from the answers of a majority of control replicas.

The aliases in this package ([`RequestId`], [`TargetName`], …) name the ids that cross package borders.
*/

mod capacity;
mod confirmation;
mod engine_event;
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
mod generated;
mod id;
mod live_target;
mod standing;
mod verdict;

pub use crate::capacity::{PIECE_TOKENS, pieces_for_tokens};
pub use crate::confirmation::Confirmation;
pub use crate::engine_event::{EngineEvent, SendNumber};
pub use crate::generated::{
    Adapter, AdmissionPolicy, CallerLimits, ControlVm, EngineTraits, FleetDocument, Forwarding,
    LoadedModel, Model, Origin, Policy, Repetition, Role, RoleFloors, Route, RoutingPolicy,
    Service, ServiceKind, ServiceShare, Target, TargetState,
};
pub use crate::id::{
    AttemptNumber, CallerName, FencingNumber, FleetVersion, IdempotencyKey, Incarnation, RequestId,
    ServiceName, TargetName, VmName, ZoneName,
};
pub use crate::live_target::{LiveTarget, TargetList};
pub use crate::standing::{ReplicaId, ReplicaStanding};
pub use crate::verdict::{ParseVerdictError, Verdict};
