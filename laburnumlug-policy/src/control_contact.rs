//! What a process knows of the control replicas that can confirm its copy of the fleet document.

/// Contact of a process with the control replicas.
///
/// A replica counts as reached unless the latest attempt to connect to it or to exchange messages with it has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlContact {
    /// Whether the processes at the addresses of a majority of the voters are reached. They may have lost their data.
    pub reaches_majority: bool,
    /// Whether a majority of the voters is reached and has its data, so that it can confirm the document.
    pub can_confirm: bool,
    /// Whether a replica has logged a change, committed or not, that the document does not include.
    pub newer_logged: bool,
}

impl Default for ControlContact {
    /// Returns the contact of a process that has not asked any replica yet.
    fn default() -> ControlContact {
        ControlContact {
            reaches_majority: true,
            can_confirm: false,
            newer_logged: false,
        }
    }
}
