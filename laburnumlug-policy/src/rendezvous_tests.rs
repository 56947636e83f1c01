use super::*;

fn others(members: &[u32], own: u32) -> Vec<u32> {
    members.iter().copied().filter(|m| *m != own).collect()
}

/// When all processes start at once, exactly one of them ranks first for each engine, and the load is balanced.
#[test]
fn rendezvous_rank_one_first_for_each_item() {
    let members: Vec<u32> = (0..26).collect();
    let mut firsts = vec![0; members.len()];
    for item in 0..440 {
        let item = format!("engine-{item}");
        let mut ranks: Vec<usize> = members
            .iter()
            .map(|own| rendezvous_rank(&item, own, &others(&members, *own)))
            .collect();
        let first = ranks.iter().position(|rank| *rank == 0).unwrap();
        firsts[first] += 1;
        ranks.sort_unstable();
        assert_eq!(ranks, (0..26).collect::<Vec<usize>>());
    }
    // The mean is about 17; no member may have more than about twice its share.
    assert!(firsts.iter().all(|count| *count < 40), "{firsts:?}");
}

#[test]
fn rendezvous_rank_alone() {
    assert_eq!(rendezvous_rank("engine", &1, &[]), 0);
}
