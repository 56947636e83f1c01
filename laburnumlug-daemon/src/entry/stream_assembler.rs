//! Assembly of a streamed answer from the chunks of one or more attempts.

use laburnumlug::AttemptNumber;

/// Assembles one answer from chunks that may be late, duplicated or missing.
#[derive(Debug, Default)]
pub(crate) struct StreamAssembler {
    /// Number of tokens forwarded to the caller so far.
    next_offset: u64,
}

/// What to do with a received chunk.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum ChunkDisposition {
    /// The chunk continues the answer and is forwarded to the caller.
    Forward,
    /// The chunk belongs to another attempt or has already been forwarded.
    Discard,
    /// Tokens before the chunk are missing, or it partly overlaps the forwarded tokens.
    Inconsistent,
}

impl StreamAssembler {
    /// Returns the offset of the next token to forward.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Decides what to do with a chunk received during `current_attempt`, and advances the offset if it is forwarded.
    pub(crate) fn accept_chunk(
        &mut self,
        current_attempt: AttemptNumber,
        attempt: AttemptNumber,
        offset: u64,
        tokens: u64,
    ) -> ChunkDisposition {
        // A faulty engine may send arbitrary numbers.
        let Some(end) = offset.checked_add(tokens) else {
            return ChunkDisposition::Inconsistent;
        };
        match () {
            () if attempt != current_attempt => ChunkDisposition::Discard,
            () if end <= self.next_offset && tokens > 0 => ChunkDisposition::Discard,
            () if offset != self.next_offset => ChunkDisposition::Inconsistent,
            () => {
                self.next_offset = end;
                ChunkDisposition::Forward
            }
        }
    }

    /// Returns whether all tokens of an answer of `tokens` tokens have been forwarded.
    pub(crate) fn is_complete(&self, tokens: u64) -> bool {
        self.next_offset == tokens
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn accept_chunk_other_attempt() {
        let mut assembler = StreamAssembler::default();
        assert_eq!(
            assembler.accept_chunk(2, 1, 0, 4),
            ChunkDisposition::Discard
        );
        assert_eq!(assembler.next_offset(), 0);
    }

    #[test]
    fn accept_chunk_gap() {
        let mut assembler = StreamAssembler::default();
        assert_eq!(
            assembler.accept_chunk(1, 1, 1, 4),
            ChunkDisposition::Inconsistent
        );
    }

    #[test]
    fn accept_chunk_overlap() {
        let mut assembler = StreamAssembler::default();
        assert_eq!(
            assembler.accept_chunk(1, 1, 0, 4),
            ChunkDisposition::Forward
        );
        assert_eq!(
            assembler.accept_chunk(1, 1, 2, 4),
            ChunkDisposition::Inconsistent
        );
    }

    #[test]
    fn accept_chunk_impossible_numbers() {
        let mut assembler = StreamAssembler::default();
        assert_eq!(
            assembler.accept_chunk(1, 1, 0, 4),
            ChunkDisposition::Forward
        );
        assert_eq!(
            assembler.accept_chunk(1, 1, 4, u64::MAX),
            ChunkDisposition::Inconsistent
        );
        assert_eq!(
            assembler.accept_chunk(1, 1, u64::MAX, 1),
            ChunkDisposition::Inconsistent
        );
        assert_eq!(assembler.next_offset(), 4);
    }

    quickcheck! {
        fn accept_chunk_caller_gets_prefix_of_answer(order: Vec<(u8, u8)>, tokens: u8) -> bool {
            // Token i of the correct answer is the number i. Chunks of one or two tokens arrive in any order and any
            // number of times, from two attempts that each resume at the offset that the caller had reached.
            let tokens = u64::from(tokens % 16);
            let mut assembler = StreamAssembler::default();
            let mut forwarded: Vec<u64> = Vec::new();
            let mut current_attempt = 1;
            for (offset, kind) in order {
                let offset = u64::from(offset) % (tokens + 1);
                let chunk: Vec<u64> = (offset..tokens).take(1 + usize::from(kind % 2)).collect();
                let attempt = 1 + u32::from(kind / 2 % 2);
                match assembler.accept_chunk(current_attempt, attempt, offset, chunk.len() as u64) {
                    ChunkDisposition::Forward => forwarded.extend(chunk),
                    ChunkDisposition::Discard => {}
                    ChunkDisposition::Inconsistent => current_attempt = 2,
                }
                let is_complete = forwarded.len() as u64 == tokens;
                if assembler.is_complete(tokens) != is_complete {
                    return false;
                }
            }
            forwarded == (0..forwarded.len() as u64).collect::<Vec<_>>()
        }

        fn accept_chunk_forwards_each_token_once(chunks: Vec<(u8, u8, u8)>) -> bool {
            let mut assembler = StreamAssembler::default();
            let mut forwarded = Vec::new();
            for (attempt, offset, tokens) in chunks {
                let (offset, tokens) = (u64::from(offset % 8), u64::from(tokens % 4));
                let attempt = u32::from(attempt % 2);
                if assembler.accept_chunk(1, attempt, offset, tokens) == ChunkDisposition::Forward {
                    forwarded.extend(offset..offset + tokens);
                }
            }
            forwarded == (0..assembler.next_offset()).collect::<Vec<_>>()
        }
    }
}
