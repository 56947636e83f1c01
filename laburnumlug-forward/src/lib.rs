/*!
Reverse proxy that forwards requests, unchanged, to live targets found by service discovery.

```no_run
use std::rc::Rc;

use laburnumlug::{FleetDocument, ReadTime, TargetList};
use laburnumlug_forward::{ForwardConfig, Forwarder, HeaderCodec, Inspector};

# fn example(
#     header_codec: Rc<dyn HeaderCodec>, inspector: Rc<dyn Inspector>, document: &FleetDocument, list: TargetList,
# ) {
let forwarder = Forwarder::new(ForwardConfig::new("zone-a"), header_codec, inspector);
forwarder.set_routes(1, document);
forwarder.set_targets(ReadTime::now(), list);
# }
```

A [`ForwardHandler`] connects an HTTP server to a [`Forwarder`]. The forwarder does not fetch routes or targets; its
owner supplies both with [`Forwarder::set_routes`] and [`Forwarder::set_targets`]. The trait [`HeaderCodec`] defines the
header format, and [`Inspector`] queries targets about their health and cached prompts.

Targets are selected by load and health, and the engines of a prompt by the predicted time to first token. Failed
attempts are repeated at other targets within a retry budget for each service, and resumable streams that break are
resumed at another engine.
*/

mod attempt;
mod attempt_failure;
mod buffered;
mod cache_reports;
mod config;
mod crash_reports;
mod crashes;
mod customer_shares;
mod customers;
mod demand;
mod departed_targets;
mod engine_request_guard;
mod engine_requests;
mod engine_selection;
mod engine_watch;
mod events;
mod forwarder;
mod handler;
mod header_codec;
mod memory;
mod observer;
mod probe;
mod refusal;
mod registry;
mod request_content;
mod route_basis;
mod routes;
mod send_check;
mod shutdown;
mod stream;
mod stream_origins;
mod target_statements;
mod trials;
mod unframed;
mod usage;

pub use crate::config::ForwardConfig;
pub use crate::engine_requests::EventSink;
pub use crate::forwarder::Forwarder;
pub use crate::handler::ForwardHandler;
pub use crate::header_codec::{
    AttemptHeaders, AttemptStage, HeaderCodec, PromptMetadata, RequestMetadata, ResponseMetadata,
    Resumption, TargetStatements,
};
pub use crate::observer::ForwardObserver;
pub use crate::probe::{CachedPart, HealthAnswer, Inspector};
pub use crate::usage::PendingUsageReport;
