//! Requests and injected faults of one run.

use std::time::Duration;

/// Request of a trace; all times are simulated.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Time at which the request is sent, from the start of the run.
    pub arrival: Duration,
    /// Name of the caller.
    pub caller: String,
    /// Topic; prompts on the same topic share a prefix.
    pub topic: String,
    /// Number of prompt tokens shared by all requests on the topic.
    pub shared_tokens: u64,
    /// Number of prompt tokens unique to the request.
    pub unique_tokens: u64,
    /// Number of tokens that the engine generates.
    pub completion_tokens: u64,
    /// Maximum number of tokens that the caller requests.
    pub max_tokens: u64,
    /// Time limit for the complete response.
    pub deadline: Duration,
    /// Random number that makes the prompt unique.
    pub prompt_id: u64,
}

impl Request {
    /// Returns the prompt, which states the length of the completion for the stand-in engine.
    pub fn prompt(&self) -> String {
        let mut prompt = repeat_word(&self.topic, self.shared_tokens);
        prompt.push_str(&repeat_word(
            &format!("{:016x}", self.prompt_id),
            self.unique_tokens,
        ));
        prompt.push_str(&format!("[answer {}]", self.completion_tokens));
        prompt
    }

    /// Returns when the complete response is due, from the start of the run.
    pub fn due(&self) -> Duration {
        self.arrival + self.deadline
    }
}

/// Returns a text of `tokens` tokens that repeats `word`.
fn repeat_word(word: &str, tokens: u64) -> String {
    let bytes = 4 * tokens as usize;
    let mut text = String::with_capacity(bytes + word.len() + 1);
    while text.len() < bytes {
        text.push_str(word);
        text.push(' ');
    }
    text.truncate(bytes);
    text
}

/// Fault injected into an engine during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineFault {
    /// The target process of the engine is killed.
    Killed {
        /// Index of the engine.
        engine: usize,
        /// Time from the start of the run.
        at: Duration,
    },
    /// The fleet document marks the target of the engine as leaving.
    Leaving {
        /// Index of the engine.
        engine: usize,
        /// Time from the start of the run.
        at: Duration,
    },
}

impl EngineFault {
    /// Returns the time of the fault, from the start of the run.
    pub fn at(&self) -> Duration {
        match self {
            EngineFault::Killed { at, .. } | EngineFault::Leaving { at, .. } => *at,
        }
    }
}

/// Requests and faults of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Number of engines at the start.
    pub engines: usize,
    /// Requests, ordered by time.
    pub requests: Vec<Request>,
    /// Faults, ordered by time.
    pub faults: Vec<EngineFault>,
}

impl Trace {
    /// Returns the number of engines that accept work at `time`.
    pub fn engines_at(&self, time: Duration) -> usize {
        let removed = self.faults.iter().filter(|fault| fault.at() <= time);
        self.engines - removed.count()
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug_standin::{completion_tokens, prompt_tokens};

    use super::*;

    #[test]
    fn prompt_lengths() {
        let req = Request {
            arrival: Duration::ZERO,
            caller: "a".into(),
            topic: "tea".into(),
            shared_tokens: 100,
            unique_tokens: 50,
            completion_tokens: 12,
            max_tokens: 64,
            deadline: Duration::from_secs(1),
            prompt_id: 1,
        };
        let prompt = req.prompt();
        assert_eq!(completion_tokens(&prompt, req.max_tokens), 12);
        assert!((150..156).contains(&prompt_tokens(&prompt)));
    }
}
