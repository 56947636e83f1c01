//! What a process knows of the control replicas that can confirm its copy of the fleet document.

/// Contact of a process with the control replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlContact {
    /// Whether a majority of the voters could confirm the document: the latest attempts to reach the other voters may have
    /// failed, but not those to a majority.
    pub reaches_majority: bool,
    /// Whether a replica has logged a change, committed or not, that the document does not include.
    pub newer_logged: bool,
}

impl Default for ControlContact {
    /// Returns the contact of a process that has not asked any replica yet.
    fn default() -> ControlContact {
        ControlContact {
            reaches_majority: true,
            newer_logged: false,
        }
    }
}
