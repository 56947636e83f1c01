//! Bound on what a task reads from one connection before other tasks run.

/// Counts the reads that a task has made from a connection without a pause.
///
/// A task that reads for as long as a connection has data never yields to timers and other tasks if its peer sends without end.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTurn {
    reads: u32,
}

impl ReadTurn {
    /// Returns whether the task must yield before its next read, as it may make `max_reads` in a row; its next turn begins then.
    pub fn must_yield(&mut self, max_reads: u32) -> bool {
        let is_over = self.reads >= max_reads;
        if is_over {
            self.reads = 0;
        }
        is_over
    }

    /// Records a read that brought data.
    pub fn record_read(&mut self) {
        self.reads += 1;
    }

    /// Records that there was nothing to read, so that the task yields anyway.
    pub fn record_pause(&mut self) {
        self.reads = 0;
    }
}

#[cfg(test)]
#[path = "read_turn_tests.rs"]
mod tests;
