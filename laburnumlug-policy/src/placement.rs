//! Choice of the engines for one prompt, by the predicted time to its first event.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use laburnumlug::Role;

use crate::prompt_cache::PartId;
use crate::reading::reading_work;

/// Time from the end of reading to the first event at the caller.
pub const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(20);

/// Price of a prompt that is moved, as time; it has a memory of its own at both engines.
const MOVE_PENALTY: Duration = Duration::from_millis(20);

/// Share of the aim up to which a predicted first event is taken as on time; predictions are uncertain.
const SAFE_SHARE: f64 = 0.6;

/// Weight of waiting against time of engines, while the first event is on time.
const WAIT_WEIGHT: f64 = 0.3;

/// Weight of waiting beyond that.
const LATE_WEIGHT: f64 = 3.0;

/// Share of a prompt's shared parts that its home is expected to hold where nothing is known.
const HOME_CREDIT: f64 = 0.3;

/// What is known of one engine when a prompt is placed.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Identity, for the agreed order of homes.
    pub instance: String,
    /// Which part of the work the engine does.
    pub role: Role,
    /// Whether it stands in the asking process's availability zone.
    pub is_near: bool,
    /// Predicted wait before a further prompt is read.
    pub waiting: Duration,
    /// Tokens a second that it reads.
    pub rate: f64,
    /// Leading tokens of the prompt that it is known to hold.
    pub held_tokens: u64,
    /// Requests that it processes, and how many it can.
    pub running: u32,
    /// Most requests that it processes at once.
    pub slots: u32,
    /// Random time, drawn for each choice, by which engines that seem equal differ: several processes choose at once, and
    /// each learns of the others' choices late.
    pub jitter: Duration,
}

/// A prompt that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PromptView {
    /// The last of its shared parts.
    pub home: Option<PartId>,
    /// Tokens of all parts.
    pub tokens: u64,
    /// Tokens of the parts that other requests share.
    pub shared_tokens: u64,
    /// Time within which the first event is on time.
    pub aim: Duration,
    /// Time to move one token between two engines; `None` where prompts cannot be moved.
    pub move_time_per_token: Option<Duration>,
}

/// Where a prompt goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Position of the engine that answers.
    pub answering: usize,
    /// Position of the engine that reads the prompt first, where that is another one.
    pub reading: Option<usize>,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Tokens that the reading engine has to read.
    pub unread_tokens: u64,
    /// Time that the placement takes of the engines.
    engine_time: Duration,
}

impl Placement {
    /// Returns whether the first event is predicted to be late.
    pub fn is_late(&self, aim: Duration) -> bool {
        self.first_event > aim
    }
}

/// Chooses the engines that promise the earliest first event.
///
/// Requests with the same shared parts meet at the same engine although nobody tells the senders of one another:
/// rendezvous hashing gives each chain a home, which is taken to hold most of the shared parts. A home with a long
/// queue loses to another engine.
pub fn place(prompt: &PromptView, engines: &[EngineView]) -> Option<Placement> {
    let home = prompt.home.and_then(|chain| home_of(chain, engines));
    let direct = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role != Role::Prefill && engine.running < engine.slots)
        .map(|(i, engine)| {
            let unread = unread_tokens(prompt, engine, home == Some(i));
            Placement {
                answering: i,
                reading: None,
                first_event: engine.waiting
                    + read_time(unread, prompt, engine)
                    + FIRST_EVENT_OVERHEAD,
                unread_tokens: unread,
                engine_time: read_time(unread, prompt, engine),
            }
        });
    let moved = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role == Role::Prefill && engine.running < engine.slots)
        .filter_map(|(i, engine)| {
            let unread = unread_tokens(prompt, engine, home == Some(i));
            let (answering, moving) = receiver(prompt, engine, engines)?;
            let reading = read_time(unread, prompt, engine);
            Some(Placement {
                answering,
                reading: Some(i),
                first_event: engine.waiting + reading + FIRST_EVENT_OVERHEAD + moving,
                unread_tokens: unread,
                engine_time: reading + MOVE_PENALTY,
            })
        });
    direct
        .chain(moved)
        .min_by_key(|placement| price(prompt, placement))
}

/// Returns what a placement costs, as time: the time of engines that it takes from others, and its own lateness.
fn price(prompt: &PromptView, placement: &Placement) -> Duration {
    let late = placement
        .first_event
        .saturating_sub(prompt.aim.mul_f64(SAFE_SHARE));
    placement.engine_time + placement.first_event.mul_f64(WAIT_WEIGHT) + late.mul_f64(LATE_WEIGHT)
}

/// Returns the engine to which a prompt moves, and how long that takes.
fn receiver(
    prompt: &PromptView,
    reading: &EngineView,
    engines: &[EngineView],
) -> Option<(usize, Duration)> {
    let per_token = prompt.move_time_per_token?;
    let tokens = u32::try_from(prompt.tokens).unwrap_or(u32::MAX);
    let receivers = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role != Role::Prefill && engine.running < engine.slots);
    receivers
        .map(|(i, engine)| {
            let distance = if engine.is_near == reading.is_near {
                1
            } else {
                2
            };
            let load = f64::from(engine.running) / f64::from(engine.slots.max(1));
            // A prompt that is being read at the receiver slows its tokens.
            let busy = engine.waiting / 4 + Duration::from_millis(30).mul_f64(load);
            (i, per_token * tokens * distance + busy + engine.jitter)
        })
        .min_by_key(|(_, time)| *time)
}

fn unread_tokens(prompt: &PromptView, engine: &EngineView, is_home: bool) -> u64 {
    let expected = match is_home {
        true => (prompt.shared_tokens as f64 * HOME_CREDIT) as u64,
        false => 0,
    };
    prompt
        .tokens
        .saturating_sub(engine.held_tokens.max(expected))
        .max(1)
}

fn read_time(unread: u64, prompt: &PromptView, engine: &EngineView) -> Duration {
    let work = reading_work(unread, prompt.tokens);
    Duration::from_secs_f64(work as f64 / engine.rate.max(1.0))
}

/// Returns the engine to which a chain belongs, by rendezvous hashing weighted with the rates.
fn home_of(chain: PartId, engines: &[EngineView]) -> Option<usize> {
    let score = |engine: &EngineView| {
        let mut hasher = DefaultHasher::new();
        (chain, &engine.instance).hash(&mut hasher);
        // Uniform in (0, 1]; the logarithm makes the weights exact shares.
        let uniform = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        -engine.rate / uniform.ln().min(-f64::MIN_POSITIVE)
    };
    let scores = engines.iter().map(score).enumerate();
    scores.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn engine(i: usize, role: Role) -> EngineView {
        EngineView {
            instance: format!("engine-{i}"),
            role,
            is_near: true,
            waiting: Duration::ZERO,
            rate: match role {
                Role::Prefill => 50_000.0,
                _ => 25_000.0,
            },
            held_tokens: 0,
            running: 0,
            slots: 64,
            jitter: Duration::ZERO,
        }
    }

    fn fleet() -> Vec<EngineView> {
        (0..9)
            .map(|i| engine(i, if i < 3 { Role::Prefill } else { Role::Decode }))
            .collect()
    }

    fn prompt(home: PartId, shared: u64, own: u64) -> PromptView {
        PromptView {
            home: Some(home),
            tokens: shared + own,
            shared_tokens: shared,
            aim: Duration::from_millis(600),
            move_time_per_token: Some(Duration::from_nanos(800)),
        }
    }

    /// Pattern: many prompts share a long part, and senders do not know of one another.
    #[test]
    fn place_same_part_same_engine() {
        let fleet = fleet();
        for chain in 0..50 {
            let first = place(&prompt(chain, 13_000, 1_000), &fleet).unwrap();
            let second = place(&prompt(chain, 13_000, 2_000), &fleet).unwrap();
            let reader = |p: &Placement| p.reading.unwrap_or(p.answering);
            assert_eq!(reader(&first), reader(&second));
        }
    }

    /// Pattern: one shared part is so popular that its home has a long queue.
    #[test]
    fn place_hot_part_spills() {
        let mut fleet = fleet();
        let first = place(&prompt(7, 13_000, 1_000), &fleet).unwrap();
        let home = first.reading.unwrap_or(first.answering);
        fleet[home].waiting = Duration::from_secs(2);
        let second = place(&prompt(7, 13_000, 1_000), &fleet).unwrap();
        assert_ne!(second.reading.unwrap_or(second.answering), home);
    }

    /// Pattern: an engine holds the shared part though another one is its home.
    #[test]
    fn place_where_part_is_held() {
        let mut fleet = fleet();
        fleet[5].held_tokens = 13_000;
        for chain in 0..20 {
            let placed = place(&prompt(chain, 13_000, 500), &fleet).unwrap();
            assert_eq!((placed.answering, placed.reading), (5, None));
        }
    }

    #[test]
    fn place_full_fleet() {
        let mut fleet = fleet();
        for engine in &mut fleet {
            engine.running = engine.slots;
        }
        assert_eq!(place(&prompt(1, 100, 10), &fleet), None);
    }

    /// Pattern: all gateways start at once, and none knows yet what the others have sent.
    #[test]
    fn place_blind_choices_spread() {
        let chosen = (0..26).map(|gateway| {
            let mut fleet = fleet();
            for (i, engine) in fleet.iter_mut().enumerate() {
                // Any permutation that differs between the gateways.
                let draw = (gateway * 7 + i * 5) % 9;
                engine.jitter = Duration::from_micros(100 * draw as u64);
            }
            place(&prompt(1, 13_000, 1_000), &fleet).unwrap().answering
        });
        let mut counts = [0; 9];
        chosen.for_each(|i| counts[i] += 1);
        assert!(counts.iter().all(|count| *count < 13), "{counts:?}");
    }
}
