use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Wake;

use futures_util::FutureExt;

use super::*;

#[derive(Default)]
struct WakeCount(AtomicUsize);

impl Wake for WakeCount {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a holder that keeps its bytes as it waits for a peer that sends nothing further.
#[test]
fn ended_wakes_largest_holder() {
    set_memory_budget(100);
    let (large, small) = (HeldBytes::default(), HeldBytes::default());
    assert_eq!(large.resize(80), Ok(()));
    let mut ended = std::pin::pin!(large.ended());
    let count = Arc::new(WakeCount::default());
    let waker = Waker::from(count.clone());
    let mut cx = Context::from_waker(&waker);
    assert!(ended.poll_unpin(&mut cx).is_pending());
    assert_eq!(small.resize(30), Ok(()));
    assert_eq!(count.0.load(Ordering::Relaxed), 1);
    let over = ended.now_or_never().unwrap();
    assert_eq!((over.holder_bytes, over.budget_bytes), (80, 100));
    assert!(small.over_budget().is_none());
}

#[test]
fn drop_releases_bytes() {
    set_memory_budget(100);
    let holder = HeldBytes::default();
    assert_eq!(holder.resize(60), Ok(()));
    assert!(holder.resize(101).is_err());
    assert_eq!(held_bytes(), 60);
    drop(holder);
    assert_eq!(held_bytes(), 0);
}
