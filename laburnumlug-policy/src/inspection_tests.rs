use super::*;
use crate::rendezvous::rendezvous_rank;

/// All gateways of a large fleet start at the same time. Before they have exchanged any results, each must inspect only a
/// few engines.
#[test]
fn inspection_delay_many_started_at_once() {
    let gateways: Vec<usize> = (0..70).collect();
    let mut inspections = [0; 70];
    for engine in 0..117 {
        for own in &gateways {
            let others: Vec<usize> = gateways.iter().copied().filter(|i| i != own).collect();
            let rank = rendezvous_rank(&format!("engine-{engine}"), own, &others);
            if inspection_delay(Some(rank), 0.0) < Duration::from_secs(3) {
                inspections[*own] += 1;
            }
        }
    }
    assert_eq!(inspections.iter().sum::<usize>(), 117 * INSPECTORS);
    assert!(
        inspections.iter().all(|count| *count <= 15),
        "{inspections:?}"
    );
}

#[test]
fn inspection_delay_first_at_once_and_all_in_the_end() {
    assert_eq!(inspection_delay(Some(0), 0.9), Duration::ZERO);
    for rank in 0..100 {
        assert!(inspection_delay(Some(rank), 0.99) < Duration::from_secs(10));
    }
    assert!(inspection_delay(None, 0.99) < FALLBACK_DELAY);
}

/// An engine under load needs almost the whole timeout. Two lists at once would delay its prompts for twice as long.
#[test]
fn inspection_delay_one_at_a_time() {
    for rank in 1..INSPECTORS {
        let end_of_previous =
            inspection_delay(Some(rank - 1), 0.5) + MAX_BUSY_WAIT + INSPECTION_TIMEOUT;
        assert!(inspection_delay(Some(rank), 0.5) > end_of_previous);
    }
    // One that was put off ends before the gateways inspect that are to do so only if no result reached them.
    let last = inspection_delay(Some(INSPECTORS - 1), 0.5) + MAX_BUSY_WAIT + INSPECTION_TIMEOUT;
    assert!(inspection_delay(Some(INSPECTORS), 0.0) > last);
}

#[test]
fn may_inspect_busy_engine_in_the_end() {
    assert!(may_inspect(Duration::ZERO, false));
    assert!(!may_inspect(Duration::from_millis(100), true));
    assert!(may_inspect(MAX_BUSY_WAIT, true));
}
