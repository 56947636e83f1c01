/*!
Client for the public HTTP interface of a model engine.

```no_run
use laburnumlug_engine::{CompletionRequest, EngineClient};

# async fn example() -> Result<(), laburnumlug_engine::Error> {
let engine = EngineClient::new("127.0.0.1:8001".parse().unwrap());
let req = CompletionRequest::new("digest-7b", "Tea dance at four", 64);
let mut stream = engine.complete(&req).await?;
while let Some(event) = stream.next().await? {
    println!("{event:?}");
}
# Ok(())
# }
```

An engine serves `POST /v1/completions` with server-sent events. Dropping a [`CompletionStream`] closes its
connection, upon which the engine cancels the generation.

An [`Order`] declares the complete desired state under one fencing token. [`EngineClient::state`] returns the engine's
actual state, which reveals the outcome of an order whose response was lost.
*/

mod admin;
mod client;
mod error;
mod event;
mod request;

pub use crate::admin::{EngineModel, EngineSetup, EngineState, Order};
pub use crate::client::{CompletionStream, EngineClient};
pub use crate::error::Error;
pub use crate::event::{CompletionEvent, EventParser};
pub use crate::request::CompletionRequest;
