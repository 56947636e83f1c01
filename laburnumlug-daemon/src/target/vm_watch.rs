//! Watches this VM's row in the platform's VM list.

use std::rc::Rc;
use std::time::Duration;

use laburnumlug_platform::{LeavingVms, VmId, VmListClient};

use super::TargetProcess;
use crate::settings::PlatformSettings;

/// How often the platform's VM list is fetched.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for fetching the platform's VM list.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the list for as long as the process runs, and closes admission once it shows that this VM is leaving.
///
/// The platform may remove a VM before an operator marks its target as leaving in the fleet document. The target then
/// refuses new requests, although the entries do not know of the removal.
pub(super) async fn run(process: Rc<TargetProcess>, platform: PlatformSettings) {
    let own_id = VmId::new(&process.settings.process.vm, &platform.instance);
    let client = VmListClient::new(platform.vm_list);
    let mut leaving_vms = LeavingVms::default();
    loop {
        match client.fetch(FETCH_TIMEOUT).await {
            Ok(list) => leaving_vms.record_list(&list.vms),
            // A list that cannot be fetched does not show that the VM is leaving, so it changes nothing.
            Err(err) => log::warn!("failed to fetch the platform's VM list, retrying: {err}"),
        }
        if leaving_vms.is_leaving(&own_id) && !process.vm_leaving.replace(true) {
            log::info!("the platform's VM list shows that this VM is leaving");
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
