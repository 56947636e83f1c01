//! Request classes that workloads are mixed from.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::trace::Request;

/// Class of similar requests in one deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClass {
    /// Name of the class, also the prefix of its caller and topic names.
    pub(crate) name: &'static str,
    /// Minimum and maximum number of prompt tokens unique to a request.
    unique_tokens: (u64, u64),
    /// Number of tokens in the prompt prefix shared by requests on the same topic.
    shared_tokens: u64,
    /// Number of topics, one of which is drawn uniformly for each request; requests on one topic share a prompt prefix.
    topics: u64,
    /// Minimum and maximum number of tokens that the engine generates.
    completion_tokens: (u64, u64),
    /// Maximum number of tokens that the caller requests.
    max_tokens: u64,
    /// Minimum and maximum seconds until the complete response is due.
    deadline_seconds: (f64, f64),
    /// Number of callers, one of which is drawn uniformly for each request.
    callers: u64,
}

/// Short question from an organiser or dancer.
pub(crate) const QUESTION: RequestClass = RequestClass {
    name: "question",
    unique_tokens: (100, 400),
    shared_tokens: 256,
    topics: 6,
    completion_tokens: (30, 150),
    max_tokens: 256,
    deadline_seconds: (5.0, 12.0),
    callers: 12,
};

/// Programme digest, requested just before leaving home.
pub(crate) const DIGEST: RequestClass = RequestClass {
    name: "digest",
    unique_tokens: (300, 900),
    shared_tokens: 1024,
    topics: 10,
    completion_tokens: (250, 600),
    max_tokens: 768,
    deadline_seconds: (18.0, 40.0),
    callers: 10,
};

/// Summary of hall notices.
pub(crate) const NOTICE: RequestClass = RequestClass {
    name: "notice",
    unique_tokens: (3000, 8000),
    shared_tokens: 512,
    topics: 4,
    completion_tokens: (60, 180),
    max_tokens: 256,
    deadline_seconds: (12.0, 30.0),
    callers: 6,
};

/// Question from a donor.
pub(crate) const DONOR_QUESTION: RequestClass = RequestClass {
    name: "donor",
    unique_tokens: (150, 500),
    shared_tokens: 384,
    topics: 12,
    completion_tokens: (40, 160),
    max_tokens: 256,
    deadline_seconds: (6.0, 12.0),
    callers: 16,
};

/// Personalised certificate.
pub(crate) const CERTIFICATE: RequestClass = RequestClass {
    name: "certificate",
    unique_tokens: (200, 600),
    shared_tokens: 768,
    topics: 12,
    completion_tokens: (300, 650),
    max_tokens: 768,
    deadline_seconds: (20.0, 45.0),
    callers: 12,
};

/// Donor letter written from a long keeper diary.
pub(crate) const DIARY: RequestClass = RequestClass {
    name: "diary",
    unique_tokens: (6000, 18000),
    shared_tokens: 512,
    topics: 4,
    completion_tokens: (350, 800),
    max_tokens: 1024,
    deadline_seconds: (45.0, 100.0),
    callers: 8,
};

impl RequestClass {
    /// Generates a request that arrives at `arrival`.
    pub(crate) fn request(&self, rng: &mut StdRng, arrival: Duration) -> Request {
        let caller = rng.random_range(0..self.callers);
        let (from, to) = self.deadline_seconds;
        Request {
            arrival,
            caller: format!("{}-{caller}", self.name),
            topic: format!("{}-topic-{}", self.name, rng.random_range(0..self.topics)),
            shared_tokens: self.shared_tokens,
            unique_tokens: rng.random_range(self.unique_tokens.0..=self.unique_tokens.1),
            completion_tokens: rng
                .random_range(self.completion_tokens.0..=self.completion_tokens.1),
            max_tokens: self.max_tokens,
            deadline: Duration::from_secs_f64(rng.random_range(from..to)),
            prompt_id: rng.random(),
        }
    }

    /// Returns the engine seconds that an average request takes on an engine in the mixed role whose cache holds the
    /// shared prompt tokens.
    pub(crate) fn mean_engine_seconds(&self) -> f64 {
        let prompt_tokens = mean(self.unique_tokens);
        prompt_tokens / MIXED_PREFILL_RATE + mean(self.completion_tokens) / MIXED_DECODE_RATE
    }
}

/// Prefill rate of an engine in the mixed role, in prompt tokens per second.
const MIXED_PREFILL_RATE: f64 = 5600.0;

/// Decode rate of an engine in the mixed role, in tokens per second, with a batch of 16 and occasional prefills.
const MIXED_DECODE_RATE: f64 = 320.0;

fn mean((from, to): (u64, u64)) -> f64 {
    (from + to) as f64 / 2.0
}
