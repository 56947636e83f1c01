/*!
Benchmarks admission, routing and planning policies by running real processes under seeded workloads.

```
use std::time::Duration;

use laburnumlug_bench::{Workload, fluid_bound};

let workload = Workload::by_name("gulvdans-calm").unwrap();
let trace = workload.trace(7, Duration::from_secs(60));
assert!(fluid_bound(&trace) <= trace.requests.len() as f64);
```

A [`Workload`] generates a [`Trace`] of requests from a seed. [`run`] starts a control replica, entries and one
target process per engine. These are real processes; the engines are simulated stand-ins within the benchmark
process. It then sends the trace and checks the text of each completion. [`fluid_bound`] computes how many of the
requests an ideal fleet could have completed in time.

All times of a trace are simulated time, which runs faster than wall-clock time by the compression factor in
[`Config`].
*/

mod bound;
mod class;
mod client;
mod config;
mod daemon;
mod error;
mod fleet;
mod load_generator;
mod outcome;
mod plot;
mod policy;
mod report;
mod run;
mod trace;
mod workload;

pub use crate::bound::fluid_bound;
pub use crate::config::Config;
pub use crate::error::Error;
pub use crate::outcome::Outcome;
pub use crate::plot::plot;
pub use crate::policy::BenchPolicy;
pub use crate::report::{Percentiles, Report, TimelinePoint, table_header, table_row};
pub use crate::run::run;
pub use crate::trace::{EngineFault, Request, Trace};
pub use crate::workload::Workload;
