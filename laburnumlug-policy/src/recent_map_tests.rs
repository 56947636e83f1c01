use super::*;

const MAX_ITEMS: usize = 100;

#[test]
fn get_forgets_after_two_generations() {
    let now = Instant::now();
    let mut items = RecentMap::new(MAX_ITEMS);
    items.insert(now, 1, 'a');
    assert_eq!(items.get(now + GENERATION_TIME, &1), Some(&'a'));
    items.insert(now + GENERATION_TIME, 2, 'b');
    assert_eq!(items.get(now + GENERATION_TIME, &1), Some(&'a'));
    items.insert(now + GENERATION_TIME * 2, 3, 'c');
    assert_eq!(items.get(now + GENERATION_TIME * 2, &1), None);
    assert_eq!(items.get(now + GENERATION_TIME * 2, &2), Some(&'b'));
    assert_eq!(items.get(now + GENERATION_TIME * 4, &3), None);
}

#[test]
fn insert_replaces_item_of_previous_generation() {
    let now = Instant::now();
    let mut items = RecentMap::new(MAX_ITEMS);
    items.insert(now, 1, 'a');
    items.insert(now + GENERATION_TIME, 1, 'b');
    assert_eq!(items.get(now + GENERATION_TIME, &1), Some(&'b'));
}

#[test]
fn iter_and_remove() {
    let now = Instant::now();
    let mut items = RecentMap::new(MAX_ITEMS);
    items.insert(now, 1, 'a');
    items.insert(now + GENERATION_TIME, 2, 'b');
    let keys = |items: &RecentMap<i32, char>, now| {
        let mut keys: Vec<i32> = items.iter(now).map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    };
    assert_eq!(keys(&items, now + GENERATION_TIME), [1, 2]);
    assert_eq!(keys(&items, now + GENERATION_TIME * 2), [2]);
    items.remove(&1);
    items.remove(&2);
    assert!(keys(&items, now + GENERATION_TIME).is_empty());
}

#[test]
fn insert_is_bounded() {
    let now = Instant::now();
    let mut items = RecentMap::new(MAX_ITEMS);
    for item in 0..5 * MAX_ITEMS {
        items.insert(now, item, ());
    }
    let held = items.current.len() + items.previous.len();
    assert!(held <= 2 * MAX_ITEMS, "{held}");
}
