//! Routing hints that an entry learns from answers: output lengths and cached prompt prefixes.

use std::cell::RefCell;
use std::collections::HashMap;

use laburnumlug::{ServiceName, TargetName};
use laburnumlug_policy::{OutputPredictor, PrefixHashes, PrefixIndex};

/// Maximum number of prompt tokens in the prefix index of one target.
const PREFIX_INDEX_TOKENS: u64 = 64 * 1024;

/// Maximum number of targets with a prefix index; one more target clears all indexes.
const MAX_TARGETS: usize = 64;

/// Output length predictors by service, and indexes of the prompt prefixes that each target has prefilled.
#[derive(Default)]
pub(crate) struct RoutingHints {
    output_predictors: RefCell<HashMap<ServiceName, OutputPredictor>>,
    prefix_indexes: RefCell<HashMap<TargetName, PrefixIndex>>,
}

impl RoutingHints {
    /// Returns the predicted number of tokens of an answer, or `max_tokens` before the first answer of the service.
    pub(crate) fn predicted_answer_tokens(
        &self,
        service: &str,
        caller: &str,
        max_tokens: u64,
    ) -> f64 {
        match self.output_predictors.borrow().get(service) {
            Some(predictor) => predictor.predict(caller, max_tokens, 0.0),
            None => max_tokens as f64,
        }
    }

    /// Records the length of a completed answer as input to later predictions.
    pub(crate) fn record_answer(&self, service: &str, caller: &str, max_tokens: u64, tokens: u64) {
        let mut output_predictors = self.output_predictors.borrow_mut();
        let predictor = output_predictors.entry(service.to_string()).or_default();
        predictor.record(caller, max_tokens, tokens);
    }

    /// Returns the number of leading tokens of a prompt that a target's engine has probably cached.
    pub(crate) fn matched_tokens(&self, target: &str, prompt: &PrefixHashes) -> u64 {
        let prefix_indexes = self.prefix_indexes.borrow();
        prefix_indexes
            .get(target)
            .map_or(0, |index| index.matched_tokens(prompt))
    }

    /// Adds an accepted prompt to the prefix index of its target.
    pub(crate) fn record_prompt(&self, target: &str, prompt: &PrefixHashes) {
        let mut prefix_indexes = self.prefix_indexes.borrow_mut();
        if prefix_indexes.len() >= MAX_TARGETS && !prefix_indexes.contains_key(target) {
            prefix_indexes.clear();
        }
        prefix_indexes
            .entry(target.to_string())
            .or_insert_with(|| PrefixIndex::new(PREFIX_INDEX_TOKENS))
            .insert(prompt);
    }
}
