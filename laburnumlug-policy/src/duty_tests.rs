use super::*;

fn others(members: &[u32], own: u32) -> Vec<u32> {
    members.iter().copied().filter(|m| *m != own).collect()
}

/// Pattern: all processes start at once and each engine is to be asked by one of them.
#[test]
fn duty_rank_one_first_for_each_item() {
    let members: Vec<u32> = (0..26).collect();
    let mut firsts = vec![0; members.len()];
    for item in 0..440 {
        let item = format!("engine-{item}");
        let mut ranks: Vec<usize> = members
            .iter()
            .map(|own| duty_rank(&item, own, &others(&members, *own)))
            .collect();
        let first = ranks.iter().position(|rank| *rank == 0).unwrap();
        firsts[first] += 1;
        ranks.sort_unstable();
        assert_eq!(ranks, (0..26).collect::<Vec<usize>>());
    }
    // About 17 each; none has a multiple of its share.
    assert!(firsts.iter().all(|count| *count < 40), "{firsts:?}");
}

#[test]
fn duty_rank_alone() {
    assert_eq!(duty_rank("engine", &1, &[]), 0);
}
