use super::*;

/// A long prompt is ahead of a short one.
#[test]
fn waiting_time_long_prompt_ahead() {
    let now = Instant::now();
    let mut queue = PrefillQueue::new(now, 50_000.0);
    assert_eq!(queue.waiting_time(now, 9), Duration::ZERO);
    queue.enqueue(now, (0, 1), 5, 50_000);
    assert_eq!(queue.waiting_time(now, 9), Duration::from_secs(1));
    let later = now + Duration::from_millis(400);
    assert_eq!(queue.waiting_time(later, 9), Duration::from_millis(600));
    queue.enqueue(later, (1, 1), 5, 5_000);
    assert_eq!(queue.waiting_time(later, 9), Duration::from_millis(700));
    queue.cancel(later, (0, 1));
    assert_eq!(queue.waiting_time(later, 9), Duration::from_millis(100));
}

/// A short prompt arrives while long prompts are queued.
#[test]
fn waiting_time_high_priority_passes_queue() {
    let now = Instant::now();
    let mut queue = PrefillQueue::new(now, 50_000.0);
    queue.enqueue(now, (0, 1), 5, 10_000);
    queue.enqueue(now, (0, 2), 5, 50_000);
    // The active prompt is not preempted.
    assert_eq!(queue.waiting_time(now, 0), Duration::from_millis(200));
    queue.enqueue(now, (0, 3), 0, 5_000);
    assert_eq!(queue.waiting_time(now, 0), Duration::from_millis(300));
    assert_eq!(queue.waiting_time(now, 5), Duration::from_millis(1300));
    queue.complete(now, (0, 1), Duration::ZERO);
    assert_eq!(queue.waiting_time(now, 0), Duration::from_millis(100));
}

#[test]
fn prefill_priority_size_then_rank() {
    assert_eq!(prefill_priority(0, 900), 0);
    assert_eq!(prefill_priority(2, 900), 2);
    assert!(prefill_priority(0, 3_000) < prefill_priority(0, 9_000));
    assert!(prefill_priority(9, 1_000_000) < LATE_PRIORITY);
}

#[test]
fn waiting_time_after_delay() {
    let now = Instant::now();
    let mut queue = PrefillQueue::new(now, 50_000.0);
    queue.record_delay(now, Duration::from_millis(400));
    assert_eq!(queue.waiting_time(now, 9), Duration::from_millis(400));
    assert!(queue.waiting_time(now + 4 * DELAY_TIME_CONSTANT, 9) < Duration::from_millis(10));
}

#[test]
fn complete_measures_rate() {
    let now = Instant::now();
    let mut queue = PrefillQueue::new(now, 50_000.0);
    for number in 0..100 {
        queue.enqueue(now, (0, number), 5, 10_000);
        queue.complete(
            now + Duration::from_millis(400),
            (0, number),
            Duration::ZERO,
        );
    }
    assert!((queue.rate() - 25_000.0).abs() < 1_000.0);
}

/// Engines twice as fast as assumed must be known to be so within a few prompts: roles and placement rest on it.
#[test]
fn complete_measures_rate_within_few_prompts() {
    let now = Instant::now();
    let mut queue = PrefillQueue::new(now, 45_000.0);
    assert_eq!(queue.relative_rate(), None);
    for number in 0..4 {
        queue.enqueue(now, (0, number), 5, 9_000);
        queue.complete(
            now + Duration::from_millis(100),
            (0, number),
            Duration::ZERO,
        );
    }
    assert!(
        queue.relative_rate().unwrap() > 1.75,
        "{:?}",
        queue.relative_rate()
    );
    queue.set_peer_rate(45_000.0);
    assert!(queue.rate() > 75_000.0);
}

/// Completes a few prompts at this rate.
fn measure(queue: &mut PrefillQueue, now: Instant, rate: f64) {
    for number in 0..4 {
        queue.enqueue(now, (0, number), 5, 9_000);
        let done_at = now + Duration::from_secs_f64(9_000.0 / rate);
        queue.complete(done_at, (0, number), Duration::ZERO);
    }
}

#[test]
fn rate_of_peers_unless_far_from_it() {
    let now = Instant::now();
    for (own, expected) in [
        (33_000.0, 36_000.0),
        (40_000.0, 36_000.0),
        (9_000.0, 9_000.0),
    ] {
        let mut queue = PrefillQueue::new(now, own);
        measure(&mut queue, now, own);
        queue.set_peer_rate(36_000.0);
        assert!((queue.rate() - expected).abs() < 1.0, "{}", queue.rate());
    }
    let mut unmeasured = PrefillQueue::new(now, 45_000.0);
    unmeasured.set_peer_rate(36_000.0);
    assert_eq!(unmeasured.rate(), 36_000.0);
}

/// Identical engines with slightly different measured rates must get similar numbers of short prompts.
#[test]
fn rate_of_peers_balances_short_prompts() {
    use crate::placement::{EngineView, PromptView, place_prompt};

    let mut now = Instant::now();
    let mut queues: Vec<PrefillQueue> = (0..8)
        .map(|i| {
            let mut queue = PrefillQueue::new(now, 36_000.0);
            measure(&mut queue, now, 33_000.0 + 1_000.0 * f64::from(i));
            queue.set_peer_rate(36_000.0);
            queue
        })
        .collect();
    let prompt = PromptView {
        affinity_part: None,
        tokens: 1_460,
        shared_tokens: 350,
        output_tokens: 0,
        ttft_objective: Duration::from_millis(400),
        time_left: Duration::from_secs(8),
        kv_transfer_time_per_token: None,
    };
    // When each engine completes its queue; all have the same true rate.
    let mut busy_until = [now; 8];
    let mut counts = [0; 8];
    for number in 10..210 {
        now += Duration::from_millis(12);
        for (queue, until) in queues.iter_mut().zip(busy_until) {
            if until <= now {
                (10..number).for_each(|number| queue.cancel(now, (0, number)));
            }
        }
        let views = queues.iter().enumerate().map(|(i, queue)| EngineView {
            instance: format!("engine-{i}"),
            role: laburnumlug::Role::Decode,
            is_same_zone: true,
            queue_wait: queue.waiting_time(now, 0),
            prefill_rate: queue.rate(),
            cached_tokens: 0,
            is_cache_known: false,
            running: 0,
            slots: 64,
            memory_tokens: 600_000,
            used_tokens: 0,
            slot_time: Duration::ZERO,
            // A different order of the engines for each prompt.
            limit_wait: Duration::ZERO,
            jitter: Duration::from_micros((number * 5 + i as u64 * 3) % 8 * 100),
        });
        let chosen = place_prompt(&prompt, &views.collect::<Vec<_>>())
            .unwrap()
            .decode_engine;
        queues[chosen].enqueue(now, (0, number), 0, 1_460);
        busy_until[chosen] = busy_until[chosen].max(now) + Duration::from_millis(41);
        counts[chosen] += 1;
    }
    assert!(
        counts.iter().all(|count| *count < 2 * 200 / 8),
        "{counts:?}"
    );
}

#[test]
fn remove_sender_leaves_others() {
    let now = Instant::now();
    let mut queue = PrefillQueue::new(now, 50_000.0);
    queue.enqueue(now, (1, 1), 5, 100);
    queue.enqueue(now, (2, 1), 5, 200);
    queue.remove_sender(now, 1);
    assert_eq!(queue.pending_work(), 200);
}

#[test]
fn prefill_work_long_context() {
    assert_eq!(prefill_work(0, 10_000), 0);
    assert!(prefill_work(1_000, 1_000) < 1_020);
    assert!(prefill_work(1_000, 50_000) > 1_900);
}

/// A late prompt is overtaken for a second by urgent ones. The engine is not slow, and prompts sent next must not be taken for
/// late.
#[test]
fn overtaken_time_of_late_prompt() {
    let start = Instant::now();
    let mut now = start;
    let mut queue = PrefillQueue::new(now, 50_000.0);
    queue.enqueue(now, (0, 0), 5, 5_000);
    let predicted = queue.waiting_time(now, LATE_PRIORITY) + queue.prefill_time(10_000);
    queue.enqueue(now, (0, 1), LATE_PRIORITY, 10_000);
    for number in 2..12 {
        queue.enqueue(now, (0, number), 3, 5_000);
        now += Duration::from_millis(100);
        queue.complete(
            now,
            (0, if number == 2 { 0 } else { number - 1 }),
            Duration::ZERO,
        );
    }
    now += Duration::from_millis(100);
    queue.complete(now, (0, 11), Duration::ZERO);
    // Sent during the prefill of the late prompt, so that it does not delay that one.
    queue.enqueue(now, (0, 12), 3, 5_000);
    now += Duration::from_millis(200);
    let overtaken = queue.overtaken_time((0, 1));
    assert_eq!(overtaken, Duration::from_secs(1));
    assert_eq!(now - start, predicted + overtaken);
}

/// A gateway that restarts must not assume that its engines are of the usual speed when others have measured them. What they
/// report may be wrong by any factor.
#[test]
fn record_reported_rate_bounded() {
    let now = Instant::now();
    for (reported, expected) in [
        (0, None),
        (1, Some(9_000)),
        (112_000, Some(112_000)),
        (u64::MAX, Some(135_000)),
    ] {
        let mut queue = PrefillQueue::new(now, 45_000.0);
        queue.record_reported_rate(reported);
        assert_eq!(queue.measured_rate(), expected);
    }
    let mut measured = PrefillQueue::new(now, 45_000.0);
    measure(&mut measured, now, 30_000.0);
    let own = measured.measured_rate();
    measured.record_reported_rate(112_000);
    assert_eq!(measured.measured_rate(), own);
}

/// An engine pauses for half a second. While others are idle, it must get no further prompts before the end of the pause is
/// seen, and must be used again from then on. A long prompt is not a pause.
#[test]
fn waiting_time_while_engine_pauses() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut paused = PrefillQueue::new(start, 40_000.0);
    paused.enqueue(start, (0, 1), 2, 4_000);
    // The prompt takes 100 ms, and its first token some time more.
    assert!(paused.waiting_time(at(200), 2) < Duration::from_millis(20));
    assert!(paused.waiting_time(at(400), 2) > Duration::from_millis(150));
    assert!(paused.waiting_time(at(600), 2) > Duration::from_millis(350));
    paused.complete(at(620), (0, 1), Duration::ZERO);
    assert_eq!(paused.waiting_time(at(620), 2), Duration::ZERO);
    assert!(paused.rate() > 20_000.0);

    let mut long = PrefillQueue::new(start, 40_000.0);
    long.enqueue(start, (0, 1), 5, 40_000);
    assert_eq!(long.waiting_time(at(600), 2), Duration::from_millis(400));

    // The engine has prefilled another prompt before the one that is assumed to be active.
    let mut reordered = PrefillQueue::new(start, 40_000.0);
    reordered.enqueue(start, (0, 1), 2, 4_000);
    reordered.enqueue(start, (1, 1), 5, 20_000);
    reordered.complete(at(500), (1, 1), Duration::ZERO);
    assert!(reordered.waiting_time(at(590), 2) < Duration::from_millis(20));

    let mut transfer = PrefillQueue::new(start, 40_000.0);
    transfer.enqueue(start, (0, 1), 2, 0);
    assert_eq!(transfer.waiting_time(at(600), 2), Duration::ZERO);
}
