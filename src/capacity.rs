//! Engine capacity, measured in fixed-size pieces of tokens.

/// Number of tokens in one piece of engine capacity.
pub const TOKENS_PER_PIECE: u64 = 1024;

/// Returns the number of pieces needed for `tokens` tokens, rounded up.
///
/// # Examples
///
/// ```
/// assert_eq!(laburnumlug::pieces_for_tokens(1024), 1);
/// assert_eq!(laburnumlug::pieces_for_tokens(1025), 2);
/// ```
pub fn pieces_for_tokens(tokens: u64) -> u64 {
    tokens.div_ceil(TOKENS_PER_PIECE)
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn pieces_for_tokens_edges() {
        assert_eq!(pieces_for_tokens(0), 0);
        assert_eq!(pieces_for_tokens(1), 1);
        assert_eq!(pieces_for_tokens(TOKENS_PER_PIECE), 1);
        assert_eq!(pieces_for_tokens(TOKENS_PER_PIECE + 1), 2);
    }

    quickcheck! {
        fn pieces_for_tokens_covers(tokens: u32) -> bool {
            let tokens = u64::from(tokens);
            let pieces = pieces_for_tokens(tokens);
            pieces * TOKENS_PER_PIECE >= tokens && pieces.saturating_sub(1) * TOKENS_PER_PIECE <= tokens
        }
    }
}
