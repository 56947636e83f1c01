//! Division of duties among processes that do not agree on it beforehand.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns how many of the other members come before `own` for an item, by rendezvous hashing.
///
/// Members that know one another have different ranks. One that does not know some of the others may have the rank of
/// another member, so the duty may be done twice, and is never left undone: somebody has rank 0.
pub fn duty_rank<M>(item: &str, own: &M, others: &[M]) -> usize
where
    M: Hash,
{
    let score = |member: &M| {
        let mut hasher = DefaultHasher::new();
        (item, member).hash(&mut hasher);
        hasher.finish()
    };
    let own = score(own);
    others.iter().filter(|other| score(other) > own).count()
}

#[cfg(test)]
#[path = "duty_tests.rs"]
mod tests;
