//! What an entry has learned from answers, as hints for routing.

use std::cell::RefCell;
use std::collections::HashMap;

use laburnumlug::{ServiceName, TargetName};
use laburnumlug_policy::{OutputPredictor, PrefixHashes, PrefixIndex};

/// Prompt tokens that are remembered for each target.
const PREFIX_INDEX_TOKENS: u64 = 64 * 1024;

/// Most targets whose prefixes are remembered.
const MAX_TARGETS: usize = 64;

/// Lengths of answers and the prefixes that each target has read.
#[derive(Default)]
pub(crate) struct Hints {
    predictors: RefCell<HashMap<ServiceName, OutputPredictor>>,
    prefixes: RefCell<HashMap<TargetName, PrefixIndex>>,
}

impl Hints {
    /// Returns the predicted tokens of an answer.
    pub(crate) fn answer_tokens(&self, service: &str, caller: &str, max_tokens: u64) -> f64 {
        match self.predictors.borrow().get(service) {
            Some(predictor) => predictor.predict(caller, max_tokens, 0.0),
            None => max_tokens as f64,
        }
    }

    /// Notes that an answer was whole with `tokens` tokens.
    pub(crate) fn note_answer(&self, service: &str, caller: &str, max_tokens: u64, tokens: u64) {
        let mut predictors = self.predictors.borrow_mut();
        let predictor = predictors.entry(service.to_string()).or_default();
        predictor.record(caller, max_tokens, tokens);
    }

    /// Returns the leading tokens of a prompt that a target's engine has probably cached.
    pub(crate) fn matched_tokens(&self, target: &str, prompt: &PrefixHashes) -> u64 {
        let prefixes = self.prefixes.borrow();
        prefixes
            .get(target)
            .map_or(0, |index| index.matched_tokens(prompt))
    }

    /// Notes that a target has taken a prompt.
    pub(crate) fn note_prompt(&self, target: &str, prompt: &PrefixHashes) {
        let mut prefixes = self.prefixes.borrow_mut();
        if prefixes.len() >= MAX_TARGETS && !prefixes.contains_key(target) {
            prefixes.clear();
        }
        prefixes
            .entry(target.to_string())
            .or_insert_with(|| PrefixIndex::new(PREFIX_INDEX_TOKENS))
            .insert(prompt);
    }
}
