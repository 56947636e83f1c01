/*!
Replicated control log and the state machine that it drives.

```no_run
use std::time::SystemTime;

use laburnumlug_control::{Command, FleetChange, Replica, ReplicaConfig};
use laburnumlug_mesh::MeshKey;

# async fn example() -> Result<(), Box<dyn std::error::Error>> {
let cfg = ReplicaConfig::new("control-1", "data/control-1".as_ref(), MeshKey::new("secret"));
let replica = Replica::open(cfg).await?;
let change = FleetChange::new("anna", 0, r#"{"name":"g","models":[],"services":[],"targets":[]}"#);
let outcome = replica.submit(SystemTime::now(), Command::Fleet(change)).await?;
println!("{outcome:?}");
# Ok(())
# }
```

A change is acknowledged only after a majority of the voters has synced it to disk. Each data folder has a
random incarnation number. A replica does not vote while its folder is empty, is older than what the other replicas observed of it,
or belongs to another cluster; it joins under a new incarnation and votes once the others have added it as a voter.
`docs/CONTROL.md` describes the protocol and the alternatives that were considered.
*/

mod claims;
mod command;
mod directory;
mod encoded_len;
mod entry;
mod entry_log;
mod error;
mod intents;
mod load_queue;
mod mesh;
mod operator;
mod peer;
mod position;
mod replica;
mod scaling;
mod software;
mod state;
mod storage;
mod token;
mod usage;

pub use crate::claims::CLAIM_RETENTION_MS;
pub use crate::command::{Accepted, Command, FleetChange, FleetRefusal, Outcome};
pub use crate::directory::{DirectoryService, DirectoryStatus, SeedStatus, serve_directory};
pub use crate::error::Error;
pub use crate::intents::RoleRefusal;
pub use crate::mesh::serve_mesh;
pub use crate::operator::OperatorInterface;
pub use crate::replica::{PeerReplica, Replica, ReplicaConfig, VoterContacts, VoterStatus};
pub use crate::scaling::{LoggedOrder, ScalingTotals, ServerChange, ServerStatus};
pub use crate::software::SoftwareChange;
pub use crate::state::FleetSnapshot;
pub use crate::token::{OperatorToken, OperatorTokens};
pub use crate::usage::{DutyHolder, UsageConfig, UsageFix, UsageFixOutcome, UsageTotals};
