//! Divides the lists of cached prompts that gateways send each other.

use std::time::Duration;

use crate::kv_cache::PartId;

/// Interval at which a gateway sends the pieces of lists, those of all engines together.
///
/// After a stop of all gateways, each learns what all engines have cached, and the lists have thousands of parts. Sent at
/// once, they delay the events about prompts, and the answers, on links of some Mbit/s and processors of a tenth of a core.
pub const CACHE_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of parts in one piece, about 1 KB.
const PARTS_PER_REPORT: usize = 64;

/// Divides the parts that an engine has cached into pieces, each with its largest part last.
///
/// The largest parts come first, as they save the most prefill. Small ones that many prompts begin with become known soon
/// anyway. An engine without cached parts has one empty piece, as it matters to others that its cache is known.
pub fn cache_reports(mut parts: Vec<(PartId, u64)>) -> Vec<Vec<(PartId, u64)>> {
    if parts.is_empty() {
        return vec![parts];
    }
    parts.sort_by_key(|(_, tokens)| *tokens);
    let pieces = parts.rchunks(PARTS_PER_REPORT);
    pieces.map(<[(PartId, u64)]>::to_vec).collect()
}

#[cfg(test)]
#[path = "cache_report_tests.rs"]
mod tests;
