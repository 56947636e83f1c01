//! Deterministic completions of the engine stand-in.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens in a prompt, of 4 bytes each; a remainder counts as a token.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the text of token `index` of the completion of `prompt`.
///
/// The text depends only on the prompt and the index, so any engine can resume a completion at any token.
pub(crate) fn token_text(prompt: &str, index: u64) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    format!(" {:04x}.{index}", hasher.finish() & 0xffff)
}

/// Returns the full completion of `prompt` with `tokens` tokens.
pub fn expected_completion(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Returns the number of tokens in a modelled engine's completion of `prompt`, which is at most `max_tokens`.
///
/// The end of the prompt may state the number, as in `...[answer 120]`; a smaller number than 1 counts as 1. Without a
/// stated number, the completion has `max_tokens` tokens.
pub fn completion_tokens(prompt: &str, max_tokens: u64) -> u64 {
    let requested = prompt
        .strip_suffix(']')
        .and_then(|rest| rest.rsplit_once("[answer "))
        .and_then(|(_, number)| number.parse::<u64>().ok());
    requested.map_or(max_tokens, |tokens| tokens.clamp(1, max_tokens))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn completion_tokens_stated_in_prompt() {
        assert_eq!(completion_tokens("hello[answer 12]", 100), 12);
        assert_eq!(completion_tokens("hello[answer 120]", 100), 100);
        assert_eq!(completion_tokens("hello[answer 0]", 100), 1);
        assert_eq!(completion_tokens("hello[answer x]", 100), 100);
        assert_eq!(completion_tokens("hello", 100), 100);
    }
}
