/*!
HTTP/1.1 server and clients shared by the crates for callers, operators, engines and services.

```no_run
use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::{Limits, Response, Server, text_response};

# async fn example() -> std::io::Result<()> {
let listener = compio::net::TcpListener::bind("127.0.0.1:0").await?;
let server = Server::new(listener, Limits::default());
let handler = Rc::new(|_req| async { text_response(200, "hello") });
server.run(handler).await;
# Ok(())
# }
```

[`Server`] runs one task per connection and limits headers, connections and idle time; [`read_body`] limits bodies.
[`HeldBytes`] counts what is held of bodies towards one budget of the process, and ends the largest beyond it.
[`ConnectionPool`] reuses keep-alive connections to peers and reports whether anything of a failed request was written.
[`send_before`] makes calls that must not reach the peer after a given time.
[`send`] opens a new connection for each request: a request that must run at most once is never resent because a
pooled connection was stale, and dropping the response closes the connection, which cancels the work at the peer.
*/

mod body;
mod body_buffer;
mod body_progress;
mod body_reader;
mod client;
mod connection;
mod connection_report;
mod discard;
mod error;
mod fair_stream;
mod held_body;
mod held_bytes;
mod idle_limit;
mod limits;
mod lingering_close;
mod max_connections;
mod open_connections;
mod pool;
mod request_body;
mod requests_in_progress;
mod revocable;
mod server;
mod socket;
mod timeout;
mod unexpected_data;

pub use crate::body::{
    Aborted, Body, BodyHandle, BodySender, Response, ResponseBuilder, channel_body, full_body,
    hold_until_sent, json_response, text_response,
};
pub use crate::body_reader::{read_body, read_held_body};
pub use crate::client::{ClientResponse, send};
pub use crate::discard::discard_body;
pub use crate::error::Error;
pub use crate::held_body::held_body;
pub use crate::held_bytes::{HeldBytes, OverBudget, held_bytes, memory_budget, set_memory_budget};
pub use crate::limits::{Limits, LimitsHandle};
pub use crate::max_connections::max_connections;
pub use crate::pool::{ConnectionPool, PooledResponse, SendError};
pub use crate::request_body::RequestBody;
pub use crate::revocable::send_before;
pub use crate::server::{Handler, PeerAddr, Request, Server, ShutdownHandle};
pub use crate::timeout::{Elapsed, timeout};
