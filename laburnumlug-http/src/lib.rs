/*!
HTTP plumbing that the packages for callers, operators, engines and services share.

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

[`Server`] runs one task for each connection and bounds headers, bodies, connections and idle time.
[`ConnectionPool`] keeps connections to peers and tells whether anything of a failed request was written.
[`send`] opens a fresh connection for each request, so no pooled connection can resend a request that
must run at most once, and dropping the answer closes the connection, which cancels the work behind it.
*/

mod body;
mod body_reader;
mod client;
mod error;
mod idle_limit;
mod pool;
mod server;
mod socket;

pub use crate::body::{
    Aborted, Body, BodySender, Response, ResponseBuilder, channel_body, full_body, hold_until_sent,
    json_response, text_response,
};
pub use crate::body_reader::read_body;
pub use crate::client::{Incoming, send};
pub use crate::error::Error;
pub use crate::pool::{Answer, ConnectionPool, SendError};
pub use crate::server::{
    Handler, Limits, LimitsHandle, PeerAddr, Request, Server, ShutdownHandle, discard_body,
};
