/*!
Lightweight stand-ins for the systems around laburnumlug, for tests and experiments.

```no_run
use laburnumlug_standin::{EngineStandIn, EngineTiming};

# async fn example() -> std::io::Result<()> {
let engine = EngineStandIn::start("127.0.0.1:0".parse().unwrap(), EngineTiming::instant()).await?;
println!("an engine listens on {}", engine.addr());
# Ok(())
# }
```

Each stand-in speaks the public protocol of the system that it replaces and records what it received, so that tests
check what actually reached the other side and not what laburnumlug reports.
*/

mod completion;
mod engine;
mod engine_admin;
mod proxy;
mod service;
mod stream_fault;
mod timing;
mod vm_list;

pub use crate::completion::{completion_tokens, expected_completion, prompt_tokens};
pub use crate::engine::{EngineRecord, EngineStandIn, EngineTiming};
pub use crate::engine_admin::{OrderOutcome, OrderRecord};
pub use crate::proxy::{Fault, FaultProxy, Traffic};
pub use crate::service::{BookingStandIn, BookingTiming};
pub use crate::stream_fault::StreamFault;
pub use crate::timing::{CacheEvent, TimingModel};
pub use crate::vm_list::VmListStandIn;
