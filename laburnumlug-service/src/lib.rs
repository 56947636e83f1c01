/*!
Client for application servers that speak plain HTTP.

```no_run
use std::time::Duration;

use laburnumlug_service::{Call, ServiceClient};

# async fn example() -> Result<(), laburnumlug_service::Error> {
let client = ServiceClient::new("127.0.0.1:8101".parse().unwrap());
let call = Call::new("POST", "/reservations").body(b"{\"seat\":\"A1\"}".to_vec());
let response = client.call(call, Duration::from_secs(2)).await?;
println!("{}", response.status);
# Ok(())
# }
```

Each call opens a new connection. A pooled connection might turn out to be closed after the request was written, and a
client library would then resend the request, which must not happen to a booking.
*/

mod call;
mod client;
mod error;

pub use crate::call::{Call, Response};
pub use crate::client::ServiceClient;
pub use crate::error::Error;
