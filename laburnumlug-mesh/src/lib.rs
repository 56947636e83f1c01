/*!
Messages and connections between the processes of this system.

Each connection is a WebSocket over TCP that carries one exchange of CBOR messages at a time:

```no_run
use std::time::Duration;

use laburnumlug_mesh::{Connection, ControlMessage, MeshKey, Message};

# async fn example() -> Result<(), laburnumlug_mesh::Error> {
let key = MeshKey::new("secret");
let addr = "127.0.0.1:7411".parse().unwrap();
let mut conn = Connection::connect(addr, &key, Duration::from_secs(1)).await?;
conn.send("r-1", &Message::Control(ControlMessage::FetchFleet { known: 0, usage: None })).await?;
let (_request_id, _response) = conn.recv().await?;
# Ok(())
# }
```

Both peers prove in the handshake that they hold the same [`MeshKey`]; the key itself is never sent.
[`Pool`] keeps idle connections for reuse. Aborting an exchange closes its connection, which is also how a
request is cancelled.
*/

mod accept;
mod claim;
mod compressed_text;
mod connection;
mod counted_stream;
mod directory;
mod error;
mod gateway_message;
mod handshake;
mod handshake_limit;
mod intent;
mod message;
mod node_command;
mod pool;
mod targets_report;
mod traffic;
mod unknown_events;

pub use crate::accept::accept_connections;
pub use crate::claim::{
    ClaimCommand, ClaimHolder, ClaimId, ClaimOutcome, ClaimResult, ClaimSequence, Fingerprint,
    RecordedResponse,
};
pub use crate::compressed_text::CompressedText;
pub use crate::connection::{Connection, MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
pub use crate::directory::{ControlContact, DirectoryReport, Readiness, ReportedContact};
pub use crate::error::Error;
pub use crate::gateway_message::{ForwardedEvents, GatewayMessage, SessionChange};
pub use crate::handshake::{MeshKey, SessionId};
pub use crate::intent::{Intent, ModelVersion, RoleAssignment};
pub use crate::message::{
    ControlMessage, LoadReport, Message, PlainRequest, RefusalReason, WorkMessage, WorkPayload,
    WorkRequest,
};
pub use crate::node_command::{
    NodeCommand, NodeOutcome, NodeReport, OrderReport, OrderResult, WeightLoadRequest,
};
pub use crate::pool::Pool;
pub use crate::targets_report::TargetsReport;
pub use crate::traffic::{Traffic, sent_traffic};
pub use laburnumlug::{ReplicaId, VotingStatus};
