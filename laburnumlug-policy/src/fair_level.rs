//! Max-min fair division of a resource.

/// Returns the largest share that each of `demands` may get if shares and demands are limited to a sum of `available`.
///
/// Demands below the level are met in full, and the others get the level. Sorts `demands`. The level is infinite if all
/// demands can be met.
pub(crate) fn fair_level(demands: &mut [f64], available: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = available;
    for (i, demand) in demands.iter().enumerate() {
        let level = left / (demands.len() - i) as f64;
        if *demand >= level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    quickcheck! {
        /// The level hands out what is available, or all that is demanded.
        fn fair_level_hands_out_all(demands: Vec<u16>, available: u16) -> bool {
            let mut demands: Vec<f64> = demands.into_iter().map(f64::from).collect();
            let level = fair_level(&mut demands, f64::from(available));
            let used: f64 = demands.iter().map(|demand| demand.min(level)).sum();
            let total: f64 = demands.iter().sum();
            (used - total.min(f64::from(available))).abs() < 1e-6
        }
    }
}
