//! Tests of the admission queue.

use futures_util::FutureExt;

use super::*;

fn deadline_policy() -> Policy {
    Policy {
        admission: AdmissionPolicy::Deadline,
        ..Policy::default()
    }
}

fn request(now: Instant, seconds: u64, pieces: u64) -> QueueRequest {
    QueueRequest {
        caller: "a".into(),
        deadline: now + Duration::from_secs(seconds),
        pieces,
        prompt: PrefixHashes::of("hello"),
        prompt_tokens: 600,
        max_tokens: 20,
        resume_at: 0,
    }
}

fn is_started(ticket: &Ticket) -> bool {
    let mut start_rx = ticket.start_rx.take().unwrap();
    let started = (&mut start_rx).now_or_never();
    ticket.start_rx.replace(Some(start_rx));
    matches!(started, Some(Ok(Ok(()))))
}

#[test]
fn enqueue_one_prompt_at_once() {
    let now = Instant::now();
    let queue = WorkQueue::new();
    let policy = deadline_policy();
    let first = queue.enqueue(now, &policy, 8, request(now, 9, 1)).unwrap();
    let late = queue.enqueue(now, &policy, 8, request(now, 9, 1)).unwrap();
    let urgent = queue.enqueue(now, &policy, 8, request(now, 5, 1)).unwrap();
    assert!(is_started(&first));
    assert!(!is_started(&late) && !is_started(&urgent));
    first.record_chunk(now + Duration::from_millis(100), 1);
    assert!(is_started(&urgent));
    assert!(!is_started(&late));
    drop(urgent);
    assert!(is_started(&late));
}

#[test]
fn enqueue_capacity_policy_starts_everything() {
    let now = Instant::now();
    let queue = WorkQueue::new();
    let policy = Policy {
        admission: AdmissionPolicy::Capacity,
        ..Policy::default()
    };
    let mut tickets: Vec<Ticket> = (0..4)
        .map(|_| queue.enqueue(now, &policy, 4, request(now, 9, 1)).unwrap())
        .collect();
    assert!(tickets.iter().all(is_started));
    assert!(queue.enqueue(now, &policy, 4, request(now, 9, 1)).is_err());
    tickets.pop();
    assert!(queue.enqueue(now, &policy, 4, request(now, 9, 1)).is_ok());
}

#[test]
fn enqueue_resumed_answer_is_admitted() {
    let now = Instant::now();
    let queue = WorkQueue::new();
    let policy = deadline_policy();
    let ticket = queue.enqueue(now, &policy, 8, request(now, 9, 1)).unwrap();
    ticket.record_chunk(now + Duration::from_secs(2), 1);
    // The measured prefill rate is 300 tokens per second, so 600 tokens take longer than the deadline of 1 second.
    assert!(queue.enqueue(now, &policy, 8, request(now, 1, 1)).is_err());
    let resumed = QueueRequest {
        resume_at: 5,
        ..request(now, 1, 1)
    };
    assert!(queue.enqueue(now, &policy, 8, resumed).is_ok());
}

#[test]
fn start_ready_drops_unreachable_completion() {
    let now = Instant::now();
    let queue = WorkQueue::new();
    let policy = deadline_policy();
    let first = queue.enqueue(now, &policy, 8, request(now, 9, 1)).unwrap();
    let waiting = queue.enqueue(now, &policy, 8, request(now, 2, 1)).unwrap();
    // The first prefill takes far longer than predicted.
    first.record_chunk(now + Duration::from_millis(1990), 1);
    let dropped = waiting.start_rx.take().unwrap().now_or_never();
    assert_eq!(dropped, Some(Ok(Err(DeadlineUnreachable))));
    assert_eq!(queue.state.borrow().completions.len(), 1);
}

#[test]
fn load_rates_of_own_answers() {
    let now = Instant::now();
    let queue = WorkQueue::new();
    let policy = deadline_policy();
    let ticket = queue.enqueue(now, &policy, 8, request(now, 9, 1)).unwrap();
    ticket.record_chunk(now + Duration::from_millis(200), 1);
    // 600 tokens in 200 ms, of which the first generated token takes 0.1 ms at the default rate.
    let rate = queue.load(now).rates.prefill_tokens_per_second;
    assert!((rate - 600.0 / 0.1999).abs() < 1e-6, "{rate}");
}
