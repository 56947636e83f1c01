//! Rendezvous hashing that assigns tasks to processes without coordination.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the rank of `own` among all members for `item`, by rendezvous hashing.
///
/// Members with the same membership view have distinct ranks. A member that is missing some others from its view may
/// share a rank with another member, so a task may be done twice. It is never left undone, since the member with the
/// highest score has rank 0 in any view.
pub fn rendezvous_rank<M>(item: &str, own: &M, others: &[M]) -> usize
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
#[path = "rendezvous_tests.rs"]
mod tests;
