/*!
Forwards requests of routes, unchanged, to live targets that were found by discovery.

```no_run
use std::rc::Rc;
use std::time::Instant;

use laburnumlug::{FleetDocument, TargetList};
use laburnumlug_forward::{Dialect, ForwardConfig, Forwarder, Inspector};

# fn example(
#     dialect: Rc<dyn Dialect>, inspector: Rc<dyn Inspector>, document: &FleetDocument, list: TargetList,
# ) {
let forwarder = Forwarder::new(ForwardConfig::new("zone-a"), dialect, inspector);
forwarder.set_routes(1, document);
forwarder.set_targets(Instant::now(), list);
# }
```

A [`ForwardHandler`] answers the requests of an HTTP server through a [`Forwarder`], which is told of routes and targets from outside and reads neither
itself. What headers mean is behind the trait [`Dialect`], and questions to targets are behind [`Inspector`].
*/

mod dialect;
mod directory;
mod engine;
mod events;
mod exchange;
mod forwarder;
mod observer;
mod plain;
mod probe;
mod refusal;
mod routes;
mod stream;

pub use crate::dialect::{AnswerFacts, CallFacts, Dialect, PromptFacts, SendFacts, SendStep};
pub use crate::engine::EventSink;
pub use crate::forwarder::{ForwardConfig, ForwardHandler, Forwarder};
pub use crate::observer::ForwardObserver;
pub use crate::probe::{HeldPart, Inspector};
