/*!
Decisions under load: admission, queueing and routing.

```
use std::time::{Duration, Instant};

use laburnumlug::Policy;
use laburnumlug_policy::{EngineRates, Limits, QueueView, Work, admission};

let now = Instant::now();
let work = Work {
    caller: "dancer".into(),
    deadline: now + Duration::from_secs(10),
    pieces: 1,
    prefill_tokens: 400.0,
    decode_tokens: 120.0,
    started: false,
};
let queue = QueueView {
    rates: EngineRates::default(),
    limits: Limits { capacity_pieces: 64, prompts_at_once: 1 },
    works: &[],
    active_callers: 1,
};
assert!(admission(&Policy::default()).decide(now, &work, &queue).is_ok());
```

Each decision is a trait, so that the fleet document chooses an implementation by name, and takes the present
time as an argument, so that tests choose the time.

# Overview

An [`Admission`] decides at the target process, which knows its own queue exactly, whether a request is taken.
[`DeadlineAdmission`] runs the measured [`EngineRates`] forward over all work that was taken
([`finish_times`]) and refuses at once what cannot be answered in time or would make a promised answer late.
[`next_to_start`] is the rule by which taken work starts: earliest deadline first.

A [`Router`] orders targets at the entry. [`PredictedFinish`] weighs queue, rates and prefix match in the same
unit, the time to the end of the answer.

[`OutputPredictor`] predicts the length of answers by caller, [`PrefixIndex`] what an engine has cached, and
[`RateMeter`] measures an engine's rates from its answers.
*/

mod admission;
mod allowance;
mod duty;
mod fairness;
mod forecast;
mod health;
mod placement;
mod predict;
mod prefix;
mod prompt_cache;
mod rates;
mod reading;
mod role_plan;
mod route;
mod subset;
mod work;

pub use crate::admission::{
    Admission, CapacityAdmission, DeadlineAdmission, QueueView, Refusal, RefusalCause, admission,
};
pub use crate::allowance::RetryAllowance;
pub use crate::duty::duty_rank;
pub use crate::fairness::CallerActivity;
pub use crate::forecast::{finish_times, waiting_time};
pub use crate::health::TargetHealth;
pub use crate::placement::{EngineView, FIRST_EVENT_OVERHEAD, Placement, PromptView, place};
pub use crate::predict::OutputPredictor;
pub use crate::prefix::{PrefixHashes, PrefixIndex};
pub use crate::prompt_cache::{PartId, PromptCache, PromptChain, part_id};
pub use crate::rates::{EngineRates, RateMeter};
pub use crate::reading::{LATE_PRIORITY, ReadId, ReadingQueue, reading_priority, reading_work};
pub use crate::role_plan::{RoleChange, plan_roles};
pub use crate::route::{
    ByRole, Candidate, LeastQueue, PredictedFinish, ReportedLoad, RouteQuery, Router, router,
};
pub use crate::subset::subset;
pub use crate::work::{Limits, Work, next_to_start};
