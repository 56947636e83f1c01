//! Selects a bounded subset of the targets for each node.

use std::hash::{DefaultHasher, Hash, Hasher};

use laburnumlug::TargetName;

/// Returns the indices of the (at most) `size` targets in the subset of `node`, in ascending order.
///
/// Rendezvous hashing scores each pair of node and target independently, so targets are balanced across the subsets,
/// and adding or removing a target changes each subset by at most one member.
pub fn select_subset(node: &str, targets: &[&TargetName], size: usize) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = targets
        .iter()
        .enumerate()
        .map(|(i, target)| (score(node, target), i))
        .collect();
    scored.sort_unstable();
    let mut chosen: Vec<usize> = scored.into_iter().take(size).map(|(_, i)| i).collect();
    chosen.sort_unstable();
    chosen
}

fn score(node: &str, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, target).hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn names(count: usize) -> Vec<TargetName> {
        (0..count).map(|i| format!("target-{i}")).collect()
    }

    #[test]
    fn select_subset_empty_and_small() {
        assert!(select_subset("n", &[], 4).is_empty());
        let names = names(3);
        let targets: Vec<&TargetName> = names.iter().collect();
        assert_eq!(select_subset("n", &targets, 4), [0, 1, 2]);
    }

    #[test]
    fn select_subset_balanced() {
        let names = names(100);
        let targets: Vec<&TargetName> = names.iter().collect();
        let mut nodes_by_target = vec![0; 100];
        for node in 0..400 {
            for i in select_subset(&format!("node-{node}"), &targets, 10) {
                nodes_by_target[i] += 1;
            }
        }
        // The mean is 40 nodes per target, with a standard deviation of about 6.
        assert!(
            nodes_by_target
                .iter()
                .all(|nodes| (15..=70).contains(nodes))
        );
    }

    quickcheck! {
        fn select_subset_changes_by_one(node: String, count: u8, removed: u8) -> bool {
            let names = names(usize::from(count % 40) + 2);
            let removed = usize::from(removed) % names.len();
            let all: Vec<&TargetName> = names.iter().collect();
            let mut rest = all.clone();
            rest.remove(removed);
            let select = |targets: &[&TargetName]| -> Vec<String> {
                select_subset(&node, targets, 8).into_iter().map(|i| targets[i].clone()).collect()
            };
            let (before, after) = (select(&all), select(&rest));
            before.iter().filter(|name| !after.contains(name)).count() <= 1
        }
    }
}
