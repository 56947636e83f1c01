//! Ranks the targets that could serve a request.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use laburnumlug::{Policy, Role, RoutingPolicy, TargetName, ZoneName};

use crate::rates::EngineRates;

/// Properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Capacity pieces that the request needs.
    pub pieces: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Predicted number of answer tokens.
    pub answer_tokens: f64,
}

impl RouteQuery {
    /// Creates a query for a request of `pieces` capacity pieces with unknown prompt and answer lengths.
    pub fn new(zone: &str, pieces: u64) -> RouteQuery {
        RouteQuery {
            zone: zone.to_string(),
            pieces,
            prompt_tokens: 0,
            answer_tokens: 0.0,
        }
    }

    /// Sets the lengths of the prompt and the answer.
    pub fn tokens(mut self, prompt_tokens: u64, answer_tokens: f64) -> RouteQuery {
        self.prompt_tokens = prompt_tokens;
        self.answer_tokens = answer_tokens;
        self
    }
}

/// Load of a target as it last reported.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// When the report was received.
    pub received_at: Instant,
    /// Time until prefill of a new prompt would have started.
    pub prefill_wait: Duration,
    /// Number of requests that the target had admitted and not finished.
    pub requests: usize,
    /// Measured rates of the target's engine.
    pub rates: EngineRates,
}

/// A target that could serve the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub(crate) target: TargetName,
    pub(crate) zone: ZoneName,
    pub(crate) role: Role,
    pub(crate) outstanding_pieces: u64,
    pub(crate) capacity_pieces: u64,
    pub(crate) load: Option<ReportedLoad>,
    pub(crate) prompt_tokens_since: u64,
    pub(crate) matched_tokens: u64,
}

impl Candidate {
    /// Creates a candidate with no known load.
    pub fn new(target: &str, zone: &str) -> Candidate {
        Candidate {
            target: target.to_string(),
            zone: zone.to_string(),
            role: Role::Mixed,
            outstanding_pieces: 0,
            capacity_pieces: 1,
            load: None,
            prompt_tokens_since: 0,
            matched_tokens: 0,
        }
    }

    /// Sets the role of the target's engine; [`Role::Mixed`] by default.
    pub fn role(mut self, role: Role) -> Candidate {
        self.role = role;
        self
    }

    /// Sets the capacity pieces that the target's work is known to hold.
    pub fn outstanding_pieces(mut self, pieces: u64) -> Candidate {
        self.outstanding_pieces = pieces;
        self
    }

    /// Sets the total capacity pieces of the target; 0 counts as 1.
    pub fn capacity_pieces(mut self, pieces: u64) -> Candidate {
        self.capacity_pieces = pieces.max(1);
        self
    }

    /// Sets the last load report and the prompt tokens that were sent since then.
    pub fn load(mut self, load: Option<ReportedLoad>, prompt_tokens_since: u64) -> Candidate {
        self.load = load;
        self.prompt_tokens_since = prompt_tokens_since;
        self
    }

    /// Sets the number of leading prompt tokens that the target's engine has probably cached.
    pub fn matched_tokens(mut self, tokens: u64) -> Candidate {
        self.matched_tokens = tokens;
        self
    }

    /// Returns the target's name.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Compares the capacity utilization of two targets exactly, in integer arithmetic.
    fn compare_utilization(&self, other: &Candidate) -> Ordering {
        let own = u128::from(self.outstanding_pieces) * u128::from(other.capacity_pieces);
        let theirs = u128::from(other.outstanding_pieces) * u128::from(self.capacity_pieces);
        own.cmp(&theirs)
    }

    /// Returns the predicted time until the answer is complete.
    ///
    /// A target without a report counts as idle with default rates, so that it gets requests and reports its load.
    fn predicted_finish_time(&self, now: Instant, query: &RouteQuery) -> Duration {
        let (prefill_wait, requests, rates) = match &self.load {
            // The engine has worked off part of the reported wait since the report.
            Some(load) => {
                let age = now.saturating_duration_since(load.received_at);
                (
                    load.prefill_wait.saturating_sub(age),
                    load.requests,
                    load.rates,
                )
            }
            None => (Duration::ZERO, 0, EngineRates::default()),
        };
        let uncached = query.prompt_tokens.saturating_sub(self.matched_tokens);
        let tokens_to_prefill = (self.prompt_tokens_since + uncached) as f64;
        let prefill_seconds = tokens_to_prefill / rates.prefill_tokens_per_second.max(1.0);
        let decode_seconds = query.answer_tokens * rates.seconds_per_token(requests + 1);
        prefill_wait + Duration::from_secs_f64(prefill_seconds + decode_seconds)
    }
}

/// Ranks candidate targets for a request.
pub trait Router {
    /// Returns the indices of `candidates`, best first.
    fn rank(&self, now: Instant, query: &RouteQuery, candidates: &[Candidate]) -> Vec<usize>;
}

/// Returns the router that a service's policy selects.
pub fn router(policy: &Policy) -> Box<dyn Router> {
    match policy.routing {
        RoutingPolicy::LeastQueue => Box::new(LeastQueue),
        RoutingPolicy::ByRole => Box::new(ByRole),
        RoutingPolicy::PredictedFinish => Box::new(PredictedFinish),
    }
}

/// Prefers the target with the lowest capacity utilization, and breaks ties by the entry's own availability zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastQueue;

impl Router for LeastQueue {
    fn rank(&self, _now: Instant, query: &RouteQuery, candidates: &[Candidate]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by(|a, b| {
            let (a, b) = (&candidates[*a], &candidates[*b]);
            a.compare_utilization(b)
                .then_with(|| (a.zone != query.zone).cmp(&(b.zone != query.zone)))
        });
        order
    }
}

/// Prefers targets whose role suits the request, and among these the one with the lowest utilization.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByRole;

/// Ratio of prompt tokens to answer tokens above which a request goes to prefill engines.
const PROMPT_HEAVY_RATIO: f64 = 8.0;

impl Router for ByRole {
    fn rank(&self, now: Instant, query: &RouteQuery, candidates: &[Candidate]) -> Vec<usize> {
        let is_prompt_heavy = query.prompt_tokens as f64 > PROMPT_HEAVY_RATIO * query.answer_tokens;
        let fits = |candidate: &Candidate| match candidate.role {
            Role::Mixed => true,
            Role::Prefill => is_prompt_heavy,
            Role::Decode => !is_prompt_heavy,
        };
        let mut order = LeastQueue.rank(now, query, candidates);
        order.sort_by_key(|i| !fits(&candidates[*i]));
        order
    }
}

/// Prefers the target with the earliest predicted finish, with a small penalty for other availability zones.
///
/// Roles need no special handling, since the measured rates show which engines are fast at prefill or at decode.
#[derive(Clone, Copy, Debug, Default)]
pub struct PredictedFinish;

/// Time by which a target in another availability zone must be faster to be preferred.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(2);

impl Router for PredictedFinish {
    fn rank(&self, now: Instant, query: &RouteQuery, candidates: &[Candidate]) -> Vec<usize> {
        let times: Vec<Duration> = candidates
            .iter()
            .map(|candidate| {
                let time = candidate.predicted_finish_time(now, query);
                match candidate.zone == query.zone {
                    true => time,
                    false => time + CROSS_ZONE_PENALTY,
                }
            })
            .collect();
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by(|a, b| {
            let by_utilization = || candidates[*a].compare_utilization(&candidates[*b]);
            times[*a].cmp(&times[*b]).then_with(by_utilization)
        });
        order
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn query() -> RouteQuery {
        RouteQuery::new("a", 1)
    }

    const RATES: EngineRates = EngineRates {
        prefill_tokens_per_second: 4000.0,
        token_seconds: 0.02,
        token_seconds_per_decode: 0.001,
    };

    fn load(received_at: Instant, prefill_wait_ms: u64) -> ReportedLoad {
        ReportedLoad {
            received_at,
            prefill_wait: Duration::from_millis(prefill_wait_ms),
            requests: 0,
            rates: RATES,
        }
    }

    #[test]
    fn rank_no_candidates() {
        let now = Instant::now();
        assert!(LeastQueue.rank(now, &query(), &[]).is_empty());
        assert!(ByRole.rank(now, &query(), &[]).is_empty());
        assert!(PredictedFinish.rank(now, &query(), &[]).is_empty());
    }

    #[test]
    fn rank_own_zone_among_equals() {
        let now = Instant::now();
        let candidates = [Candidate::new("t1", "b"), Candidate::new("t2", "a")];
        assert_eq!(LeastQueue.rank(now, &query(), &candidates), [1, 0]);
        assert_eq!(PredictedFinish.rank(now, &query(), &candidates), [1, 0]);
    }

    #[test]
    fn rank_by_role_fitting_first() {
        let now = Instant::now();
        let candidates = [
            Candidate::new("t1", "a").role(Role::Decode),
            Candidate::new("t2", "a")
                .role(Role::Prefill)
                .outstanding_pieces(1),
        ];
        let long_prompt = query().tokens(8000, 100.0);
        assert_eq!(ByRole.rank(now, &long_prompt, &candidates), [1, 0]);
        let long_answer = query().tokens(100, 100.0);
        assert_eq!(ByRole.rank(now, &long_answer, &candidates), [0, 1]);
    }

    #[test]
    fn rank_predicted_shorter_wait() {
        let now = Instant::now();
        let candidates = [
            Candidate::new("t1", "a").load(Some(load(now, 500)), 0),
            Candidate::new("t2", "b").load(Some(load(now, 100)), 0),
        ];
        assert_eq!(PredictedFinish.rank(now, &query(), &candidates), [1, 0]);
    }

    #[test]
    fn rank_predicted_matched_prefix_outweighs_queue() {
        let now = Instant::now();
        let candidates = [
            Candidate::new("t1", "a").load(Some(load(now, 0)), 0),
            Candidate::new("t2", "a")
                .load(Some(load(now, 100)), 0)
                .matched_tokens(4000),
        ];
        let query = query().tokens(4000, 10.0);
        assert_eq!(PredictedFinish.rank(now, &query, &candidates), [1, 0]);
    }

    #[test]
    fn rank_predicted_what_was_sent_since() {
        let now = Instant::now();
        let candidates = [
            Candidate::new("t1", "a").load(Some(load(now, 0)), 8000),
            Candidate::new("t2", "a").load(Some(load(now, 100)), 0),
        ];
        assert_eq!(PredictedFinish.rank(now, &query(), &candidates), [1, 0]);
    }

    #[test]
    fn rank_predicted_all_stale() {
        // The wait in an old report counts only as far as it exceeds the report's age.
        let now = Instant::now() + Duration::from_secs(3600);
        let old = now - Duration::from_secs(3000);
        let candidates = [
            Candidate::new("t1", "b").load(Some(load(old, 5000)), 0),
            Candidate::new("t2", "a").load(Some(load(old, 9000)), 0),
        ];
        assert_eq!(PredictedFinish.rank(now, &query(), &candidates), [1, 0]);
    }

    quickcheck! {
        fn rank_is_permutation(loads: Vec<(u16, u16)>) -> bool {
            let now = Instant::now();
            let candidates: Vec<Candidate> = loads
                .iter()
                .map(|(pieces, wait_ms)| {
                    Candidate::new("t", "a")
                        .outstanding_pieces(u64::from(*pieces))
                        .load(Some(load(now, u64::from(*wait_ms))), 0)
                })
                .collect();
            let routers: [&dyn Router; 3] = [&LeastQueue, &ByRole, &PredictedFinish];
            routers.iter().all(|router| {
                let mut order = router.rank(now, &query(), &candidates);
                order.sort_unstable();
                order == (0..loads.len()).collect::<Vec<_>>()
            })
        }
    }
}
