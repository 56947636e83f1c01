//! Reads this VM's own row in the platform's VM list.

use std::rc::Rc;
use std::time::Duration;

use laburnumlug_platform::{VmId, VmListClient, VmView};

use super::TargetProcess;
use crate::settings::PlatformSettings;

/// How often the list is fetched.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long the platform may take for one list.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the own row for as long as the process runs.
///
/// The platform may take a VM away before an operator says so in the fleet document; the target then takes no new
/// work though no entry knows of it.
pub(super) async fn watch(process: Rc<TargetProcess>, platform: PlatformSettings) {
    let own = VmId::new(&process.settings.process.vm, &platform.instance);
    let client = VmListClient::new(platform.vm_list);
    let mut view = VmView::default();
    loop {
        match client.fetch(FETCH_TIMEOUT).await {
            Ok(list) => view.note(&list.vms),
            // The list proves nothing by its absence, so work goes on.
            Err(err) => log::warn!("{err}"),
        }
        if view.is_leaving(&own) && !process.vm_leaving.replace(true) {
            log::info!("the platform's VM list shows that this VM is leaving");
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
