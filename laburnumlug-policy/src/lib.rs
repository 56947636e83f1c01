/*!
Load management policies: admission control, scheduling, routing and placement.

```
use std::time::{Duration, Instant};

use laburnumlug::Policy;
use laburnumlug_policy::{EngineLimits, EngineRates, QueueView, WorkItem, admission};

let now = Instant::now();
let item = WorkItem {
    caller: "dancer".into(),
    deadline: now + Duration::from_secs(10),
    pieces: 1,
    prefill_tokens: 400.0,
    decode_tokens: 120.0,
    started: false,
};
let queue = QueueView {
    rates: EngineRates::default(),
    limits: EngineLimits { capacity_pieces: 64, prompts_at_once: 1 },
    items: &[],
    active_callers: 1,
};
assert!(admission(&Policy::default()).decide(now, &item, &queue).is_ok());
```

Admission control and routing are traits, so that the fleet document selects an implementation by name. Functions
take the current time as an argument, so that tests control the time.

# Overview

An [`Admission`] decides whether a target process, which knows its own queue exactly, admits a request.
[`DeadlineAdmission`] simulates all admitted work at the measured [`EngineRates`] ([`finish_times`]). It refuses at
once any request that would miss its deadline or would make an admitted request miss its own. Admitted work starts
in the order of [`next_to_start`]: earliest deadline first.

A [`Router`] ranks the targets at the entry. [`PredictedFinish`] combines the effects of the queue, the rates and the
cached prefix in one unit, the time until the answer is complete. [`select_subset`] bounds the targets that a node
sends requests to.

[`place_prompt`] selects the prefill and decode engines of a prompt from their [`PrefillQueue`]s and
[`KvCacheEstimate`]s. [`PendingParts`] tracks what the queued
prompts will add to the caches. [`plan_roles`] divides the engines of a service between the roles by the [`Demand`] for each
phase, which a [`DemandMeter`] samples from the reports of gateways.

[`EngineMemory`] predicts the memory that the requests of an engine use. [`EngineActivity`] detects engines that have stopped responding, from their signs of life and what they have in progress.

[`OutputPredictor`] predicts the length of answers by caller, [`PrefixIndex`] tracks what an engine has cached, and
[`RateMeter`] measures an engine's rates from its answers. [`TargetHealth`] ejects failing targets, [`ExchangeEnds`] tells an answer that was cut by the end of its target from a whole one, [`RetryBudget`]
limits retries, [`TargetStatus`] keeps what a target states about itself, [`RequestLimit`] spaces the requests to one that limits them, [`CrashAttribution`] blocks prompt parts and repeated requests that crash targets, [`StreamOrigins`] remembers the software versions at which streams began while [`SoftwareHistory`] has several, [`RetrySchedule`] spaces the retries of refused requests, and [`rendezvous_rank`] assigns tasks to
processes without coordination. [`CustomerShares`] keeps customers to their shares of the engines while there is too little
room. [`select_exchange_links`] and [`event_batch_interval`] bound the messages that gateways exchange about prompts sent to
engines, [`inspection_delay`] divides the inspections of engines among them, and [`cache_reports`] divides the results.

[`authorize`] decides by its API key whether a request is served.

A [`UsageMeter`] counts the requests of customers by windows of true time, which a [`ClockOffset`] estimates. A [`DutyTurn`]
and [`CallPermit`]s keep two successive leaders from acting in turn, and a [`ReportSchedule`] spaces the calls that report
the counts. A [`ServerCount`] decides how many targets of a service are ordered in each availability zone.
*/

mod admission;
mod authorization;
mod cache_report;
mod clock_offset;
mod control_contact;
mod crash_attribution;
mod crash_blame;
mod customer_share;
mod customer_use;
mod duty_turn;
mod engine_activity;
mod engine_demand;
mod engine_memory;
mod event_batch;
mod event_coverage;
mod exchange;
mod exchange_ends;
mod fair_level;
mod fairness;
mod forecast;
mod health;
mod inspection;
mod kv_cache;
mod memory_budget;
mod output_length;
mod pause_detector;
mod pending_parts;
mod placement;
mod prefill_queue;
mod prefix;
mod rates;
mod recent_map;
mod recent_suspects;
mod rendezvous;
mod report_schedule;
mod request_limit;
mod retry_budget;
mod retry_schedule;
mod role_plan;
mod room;
mod route;
mod running_requests;
mod server_count;
mod server_forecast;
mod shutdown_schedule;
mod software_history;
mod stream_origins;
mod subset;
mod suspect_trial;
mod target_status;
mod usage_counts;
mod usage_meter;
mod work;

pub use crate::admission::{
    Admission, CapacityAdmission, DeadlineAdmission, QueueView, Refusal, RefusalCause, admission,
};
pub use crate::authorization::{Authorization, Credentials, DocumentStatus, KeyHash, authorize};
pub use crate::cache_report::{CACHE_REPORT_INTERVAL, cache_reports};
pub use crate::clock_offset::ClockOffset;
pub use crate::control_contact::ControlContact;
pub use crate::crash_attribution::{
    BlockedSuspect, ContentId, CrashAttribution, Suspect, TargetCrash,
};
pub use crate::customer_share::{CustomerShares, ShareExceeded, ShareRequest, Standing};
pub use crate::customer_use::EngineWork;
pub use crate::duty_turn::{CallPermit, DutyTurn};
pub use crate::engine_activity::{EngineActivity, InProgress, ObservationWindow};
pub use crate::engine_demand::{Demand, DemandMeter, PhaseDemand};
pub use crate::engine_memory::EngineMemory;
pub use crate::event_batch::event_batch_interval;
pub use crate::event_coverage::EventCoverage;
pub use crate::exchange::{
    ExchangeLink, PathId, SenderSessions, select_exchange_links, sends_cache_contents,
};
pub use crate::exchange_ends::{ExchangeEnds, ExchangeId};
pub use crate::fairness::CallerActivity;
pub use crate::forecast::{finish_times, prefill_wait_time};
pub use crate::health::TargetHealth;
pub use crate::inspection::{INSPECTION_TIMEOUT, inspection_delay, may_inspect};
pub use crate::kv_cache::{CacheMatch, KvCacheEstimate, PartId, PromptParts, part_id};
pub use crate::memory_budget::{HolderId, MemoryBudget};
pub use crate::output_length::OutputPredictor;
pub use crate::pause_detector::PauseDetector;
pub use crate::pending_parts::PendingParts;
pub use crate::placement::{
    EngineView, FIRST_TOKEN_OVERHEAD, Placement, PromptView, place_decode, place_prompt,
};
pub use crate::prefill_queue::{
    LATE_PRIORITY, PrefillEstimate, PrefillId, PrefillQueue, prefill_priority, prefill_work,
};
pub use crate::prefix::{PrefixHashes, PrefixIndex};
pub use crate::rates::{EngineRates, RateMeter};
pub use crate::recent_suspects::RecentSuspects;
pub use crate::rendezvous::rendezvous_rank;
pub use crate::report_schedule::{ReportResult, ReportSchedule};
pub use crate::request_limit::{RequestLimit, max_limit_wait};
pub use crate::retry_budget::RetryBudget;
pub use crate::retry_schedule::RetrySchedule;
pub use crate::role_plan::{RoleChange, plan_roles};
pub use crate::room::NoRoom;
pub use crate::route::{
    ByRole, Candidate, LeastQueue, PredictedFinish, ReportedLoad, RouteQuery, Router, router,
};
pub use crate::running_requests::{
    DECODE_START_TIME, Progress, RunId, RunningRequest, RunningRequests, has_been_outlasted,
};
pub use crate::server_count::{
    OrderReason, ServerCount, ServerOrder, ServiceLoad, StandingOrder, ZoneTargets,
};
pub use crate::shutdown_schedule::ShutdownSchedule;
pub use crate::software_history::{AssumedOrigin, SoftwareHistory};
pub use crate::stream_origins::StreamOrigins;
pub use crate::subset::select_subset;
pub use crate::suspect_trial::TrialId;
pub use crate::target_status::{Decline, TargetStatus};
pub use crate::usage_counts::{ChangeNumber, ChangedCounts, UsageCounts, window_at, window_end};
pub use crate::usage_meter::{MeteredId, UsageMeter};
pub use crate::work::{EngineLimits, WorkItem, next_to_start};
