//! Notifications about the fleet document, the live targets and the control replicas.

use std::time::Duration;

use laburnumlug::{BootTime, DemandReport, ListedGateway, ReadTime, SoftwareRecord, TargetList};
use laburnumlug_forward::PendingUsageReport;
use laburnumlug_policy::{ChangeNumber, ControlContact};

use super::FleetView;

/// Observer of the updates that a [`FleetWatch`] receives.
pub(crate) trait FleetObserver {
    /// Called when a newer version comes into force.
    fn view_changed(&self, view: &FleetView);

    /// Called when a majority of the control replicas has confirmed that the view was the newest at `at`.
    fn view_confirmed(&self, at: BootTime);

    /// Called when what is known of the control replicas has changed.
    fn contact_changed(&self, contact: ControlContact);

    /// Called with a list of live targets that was read at `read_at`.
    fn targets_updated(&self, read_at: ReadTime, list: TargetList);

    /// Called when the list of live targets was still the same at `read_at`.
    fn targets_unchanged(&self, read_at: ReadTime);

    /// Called with the software versions that the control replicas have recorded at `at`, after the list of live targets.
    fn software_reported(&self, at: BootTime, records: &[SoftwareRecord]);

    /// Called with the gateways that were recently active.
    fn gateways_updated(&self, gateways: &[ListedGateway]);

    /// Returns this process as a gateway that receives events from others, if it is one.
    fn own_listing(&self) -> Option<ListedGateway>;

    /// Returns the engine time that the requests of this process have used, if it sends any to engines.
    fn demand_report(&self) -> Option<DemandReport>;

    /// Returns the length of the windows in which this process counts requests, if it does.
    fn usage_window(&self) -> Option<Duration>;

    /// Returns the counts that have changed after change `known`, if this process counts requests.
    fn usage_report(&self, known: ChangeNumber) -> Option<PendingUsageReport>;

    /// Called when a replica has answered a report, with its Unix time and the number of voters.
    fn usage_acknowledged(
        &self,
        replica: usize,
        report: &PendingUsageReport,
        unix_time: Duration,
        voters: usize,
    );
}
