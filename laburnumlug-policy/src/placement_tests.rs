use quickcheck::quickcheck;

use super::*;

fn engine(i: usize, role: Role) -> EngineView {
    EngineView {
        instance: format!("engine-{i}"),
        role,
        is_same_zone: true,
        queue_wait: Duration::ZERO,
        prefill_rate: match role {
            Role::Prefill => 50_000.0,
            _ => 25_000.0,
        },
        cached_tokens: 0,
        is_cache_known: false,
        running: 0,
        slots: 64,
        memory_tokens: 600_000,
        used_tokens: 0,
        slot_time: Duration::from_millis(400),
        limit_wait: Duration::ZERO,
        jitter: Duration::ZERO,
    }
}

fn fleet() -> Vec<EngineView> {
    (0..9)
        .map(|i| engine(i, if i < 3 { Role::Prefill } else { Role::Decode }))
        .collect()
}

fn prompt(affinity_part: PartId, shared: u64, own: u64) -> PromptView {
    PromptView {
        affinity_part: Some(affinity_part),
        tokens: shared + own,
        shared_tokens: shared,
        output_tokens: 200,
        ttft_objective: Duration::from_millis(600),
        time_left: Duration::from_secs(8),
        kv_transfer_time_per_token: Some(Duration::from_nanos(800)),
    }
}

/// Prompts that share a long part must reach the same engine, although their senders do not coordinate.
#[test]
fn place_prompt_same_part_same_engine() {
    let fleet = fleet();
    for part in 0..50 {
        let first = place_prompt(&prompt(part, 13_000, 1_000), &fleet).unwrap();
        let second = place_prompt(&prompt(part, 13_000, 2_000), &fleet).unwrap();
        let prefill_engine = |p: &Placement| p.prefill_engine.unwrap_or(p.decode_engine);
        assert_eq!(prefill_engine(&first), prefill_engine(&second));
    }
}

/// A popular shared part must spill to another engine once its affinity engine has a long queue.
#[test]
fn place_prompt_hot_part_spills() {
    let mut fleet = fleet();
    let first = place_prompt(&prompt(7, 13_000, 1_000), &fleet).unwrap();
    let affinity_index = first.prefill_engine.unwrap_or(first.decode_engine);
    fleet[affinity_index].queue_wait = Duration::from_secs(2);
    let second = place_prompt(&prompt(7, 13_000, 1_000), &fleet).unwrap();
    assert_ne!(
        second.prefill_engine.unwrap_or(second.decode_engine),
        affinity_index
    );
}

/// An engine that has the shared part cached must be preferred to the affinity engine.
#[test]
fn place_prompt_where_part_is_cached() {
    let mut fleet = fleet();
    fleet[5].cached_tokens = 13_000;
    for part in 0..20 {
        let placed = place_prompt(&prompt(part, 13_000, 500), &fleet).unwrap();
        assert_eq!((placed.decode_engine, placed.prefill_engine), (5, None));
    }
}

#[test]
fn place_prompt_full_fleet() {
    let mut fleet = fleet();
    for engine in &mut fleet {
        engine.running = engine.slots * 2;
    }
    let no_room = place_prompt(&prompt(1, 100, 10), &fleet).unwrap_err();
    // Each engine completes 64 requests in 400 ms, and one has to complete.
    assert_eq!(no_room.room_after, Duration::from_micros(6_250));
    assert_eq!(
        no_room.completion_interval,
        Duration::from_millis(400) / (6 * 64)
    );
}

/// Gateways that start at once and do not see each other's requests yet must not all select the same engine.
#[test]
fn place_prompt_blind_choices_spread() {
    let chosen = (0..26).map(|gateway| {
        let mut fleet = fleet();
        for (i, engine) in fleet.iter_mut().enumerate() {
            // Any permutation that differs between the gateways serves.
            let draw = (gateway * 7 + i * 5) % 9;
            engine.jitter = Duration::from_micros(100 * draw as u64);
        }
        place_prompt(&prompt(1, 13_000, 1_000), &fleet)
            .unwrap()
            .decode_engine
    });
    let mut counts = [0; 9];
    chosen.for_each(|i| counts[i] += 1);
    assert!(counts.iter().all(|count| *count < 13), "{counts:?}");
}

/// Short prompts come by the hundred a second and hold all slots. A slot becomes free every few milliseconds, so a
/// prompt waits for one, at the engine with the shortest wait, instead of being refused.
#[test]
fn place_prompt_burst_of_short_prompts_waits_for_slot() {
    let mut fleet = fleet();
    for (i, engine) in fleet.iter_mut().enumerate() {
        engine.slots = 16;
        engine.running = match engine.role {
            Role::Prefill => 0,
            _ => 24 - i as u32,
        };
    }
    let short = prompt(1, 92, 291);
    let placed = place_prompt(&short, &fleet).unwrap();
    assert_eq!(placed.decode_engine, 8);
    assert!(!placed.is_late(Duration::from_millis(300)));
}

/// The wait for a slot would outlast the deadline: the caller must learn so at once.
#[test]
fn place_prompt_refuses_what_would_miss_its_deadline() {
    let mut fleet = fleet();
    for engine in &mut fleet {
        engine.running = engine.slots;
        engine.slot_time = Duration::from_secs(60);
    }
    let urgent = PromptView {
        time_left: Duration::from_millis(500),
        ..prompt(1, 92, 291)
    };
    let no_room = place_prompt(&urgent, &fleet).unwrap_err();
    assert_eq!(
        no_room.room_after,
        // One of 64 slots becomes free, then the engine prefills 383 tokens.
        Duration::from_secs(60) / 64 + idle_first_token_time() - urgent.time_left
    );
}

/// Returns how long an idle engine takes until the first token of a prompt of 383 tokens.
fn idle_first_token_time() -> Duration {
    FIRST_TOKEN_OVERHEAD + Duration::from_secs_f64(prefill_work(383, 383) as f64 / 25_000.0)
}

/// After the loss of most engines, the queues of the others are longer than the deadlines. A request that would be served
/// after its deadline delays those that can be served; one that would only be late must be served.
#[test]
fn place_prompt_queues_longer_than_deadline() {
    let mut fleet = fleet();
    for engine in &mut fleet {
        engine.queue_wait = Duration::from_secs(3);
    }
    let late = PromptView {
        time_left: Duration::from_secs(4),
        ..prompt(1, 92, 291)
    };
    let placed = place_prompt(&late, &fleet).unwrap();
    assert!(placed.is_late(late.ttft_objective));
    let hopeless = PromptView {
        time_left: Duration::from_secs(2),
        ..late
    };
    let room_after = place_prompt(&hopeless, &fleet).unwrap_err().room_after;
    for engine in &mut fleet {
        engine.queue_wait -= room_after;
    }
    assert!(place_prompt(&hopeless, &fleet).is_ok());
    assert!(room_after < Duration::from_millis(1_100), "{room_after:?}");
}

/// Without a measured slot time or without decode engines, the time until an engine has room is unknown.
#[test]
fn place_prompt_unknown_time_until_room() {
    let mut fleet = fleet();
    for engine in &mut fleet {
        engine.running = engine.slots * 2;
        engine.slot_time = Duration::ZERO;
    }
    let no_room = place_prompt(&prompt(1, 100, 10), &fleet).unwrap_err();
    assert_eq!(no_room.room_after, Duration::ZERO);
    let no_room = place_prompt(&prompt(1, 100, 10), &[engine(0, Role::Prefill)]).unwrap_err();
    assert_eq!(no_room.room_after, Duration::ZERO);
}

/// The engines with the shortest queues have hardly any memory left: another one must get the prompt, or it is refused until
/// enough of the running requests have ended. An engine that exceeds its memory crashes with all its requests.
#[test]
fn place_prompt_engines_without_memory() {
    let mut fleet = fleet();
    for engine in &mut fleet {
        engine.used_tokens = 500_000;
        engine.running = 40;
    }
    fleet[8].used_tokens = 400_000;
    fleet[8].queue_wait = Duration::from_millis(900);
    let long = prompt(1, 13_000, 77_000);
    let placed = place_prompt(&long, &fleet).unwrap();
    assert_eq!((placed.decode_engine, placed.prefill_engine), (8, None));
    fleet[8].used_tokens = 500_000;
    let no_room = place_prompt(&long, &fleet).unwrap_err();
    // 50,200 of 500,000 tokens have to become free, all of which do within 400 ms.
    assert_eq!(no_room.room_after, Duration::from_micros(40_160));
}

quickcheck! {
    /// A request that is repeated after the returned time must be placed if no others arrive in between.
    fn place_prompt_room_after_is_sufficient(loads: Vec<(u8, u8)>, time_left_ms: u16) -> bool {
        let engines = loads.iter().enumerate().map(|(i, (slots, running))| EngineView {
            slots: u32::from(slots % 16) + 1,
            running: u32::from(*running),
            ..engine(i, Role::Decode)
        });
        let mut engines: Vec<EngineView> = engines.collect();
        let prompt = PromptView {
            time_left: Duration::from_millis(u64::from(time_left_ms)),
            ..prompt(1, 92, 291)
        };
        let Err(no_room) = place_prompt(&prompt, &engines) else {
            return true;
        };
        if prompt.time_left < idle_first_token_time() {
            // No engine can serve the request in time, so there is no such time.
            return no_room.room_after.is_zero();
        }
        for engine in &mut engines {
            let ended = no_room.room_after.as_secs_f64() / engine.slot_time.as_secs_f64()
                * f64::from(engine.slots);
            engine.running = engine.running.saturating_sub(ended.ceil() as u32);
        }
        engines.is_empty() || place_prompt(&prompt, &engines).is_ok()
    }
}

/// A request goes to an engine without a limit as long as one is near; if all have reached theirs, it waits for at most a
/// share of its objective, and is refused otherwise.
#[test]
fn place_prompt_limited_engines() {
    let mut fleet = fleet();
    let ms = Duration::from_millis;
    for engine in &mut fleet[3..8] {
        engine.limit_wait = ms(100);
    }
    for part in 0..20 {
        let placement = place_prompt(&prompt(part, 13_000, 1_000), &fleet).unwrap();
        assert_eq!(placement.decode_engine, 8);
    }
    fleet[8].limit_wait = ms(200);
    let placement = place_prompt(&prompt(1, 13_000, 1_000), &fleet).unwrap();
    assert!((3..8).contains(&placement.decode_engine));
    for engine in &mut fleet {
        engine.limit_wait = ms(1000);
    }
    let refused = place_prompt(&prompt(1, 13_000, 1_000), &fleet).unwrap_err();
    assert_eq!(refused.room_after, ms(760));
}

/// Limits count the requests that an engine runs, so a separate prefill still goes to prefill engines.
#[test]
fn place_prompt_limited_prefill_engines() {
    let mut fleet = fleet();
    for engine in &mut fleet[..3] {
        engine.limit_wait = Duration::from_secs(2);
    }
    let placement = place_prompt(&prompt(1, 13_000, 1_000), &fleet).unwrap();
    assert!(
        placement.prefill_engine.is_some_and(|i| i < 3),
        "{placement:?}"
    );
}
