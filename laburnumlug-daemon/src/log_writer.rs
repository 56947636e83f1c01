//! Log appender that rate-limits lines and writes them from a background thread.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use log::Record;
use log::kv::Key;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Maximum number of queued lines. Beyond it, lines are dropped, because waiting would delay requests.
const MAX_QUEUED_LINES: usize = 4096;

/// Capacity of a token bucket: the number of lines of one kind that may be written at once.
const BURST_LINES: f64 = 100.0;

/// Refill rate of a token bucket, which limits lines of one kind in the long term.
const LINES_PER_SECOND: f64 = 20.0;

/// Maximum number of kinds with their own token bucket; one more kind resets the limiter by removing all buckets.
const MAX_BUCKETS: usize = 1024;

/// Kind of a line: the module and line number of the log statement, and the cause in the record.
type LineKind = (&'static str, u32, String);

/// Token bucket of one kind.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    /// Number of lines suppressed since the last admitted one.
    suppressed: u64,
}

/// Rate limiter with one token bucket per kind of line.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    buckets: HashMap<LineKind, Bucket>,
}

impl RateLimiter {
    /// Admits a line and returns how many of its kind were suppressed before it, or returns `None` to suppress it too.
    pub(crate) fn admit(&mut self, now: Instant, kind: LineKind) -> Option<u64> {
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(&kind) {
            self.buckets.clear();
        }
        let bucket = self.buckets.entry(kind).or_insert(Bucket {
            tokens: BURST_LINES,
            refilled_at: now,
            suppressed: 0,
        });
        let elapsed_seconds = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_seconds * LINES_PER_SECOND).min(BURST_LINES);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}

/// Appender that never blocks its callers, even if the output is not being read.
#[derive(Debug)]
pub(crate) struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    limiter: Mutex<RateLimiter>,
    /// Number of lines dropped because the queue was full or the output could not be written.
    dropped: Arc<AtomicU64>,
    encoder: JsonEncoder,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start<W>(out: W) -> LogWriter
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        std::thread::spawn(move || write_lines(&rx, out, &counter));
        LogWriter {
            tx,
            limiter: Mutex::default(),
            dropped,
            encoder: JsonEncoder::new(),
        }
    }
}

impl Append for LogWriter {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let cause = record.key_values().get(Key::from("cause"));
        let cause = cause.map_or(String::new(), |cause| cause.to_string());
        let kind = (
            record.module_path_static().unwrap_or(""),
            record.line().unwrap_or(0),
            cause,
        );
        let admitted = match self.limiter.lock() {
            Ok(mut limiter) => limiter.admit(Instant::now(), kind),
            Err(_) => return Ok(()),
        };
        let Some(suppressed) = admitted else {
            return Ok(());
        };
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        let mut line = line.0;
        if suppressed > 0 {
            let note = format!(
                "{{\"level\":\"INFO\",\"message\":\"{suppressed} similar lines were suppressed by the rate limit\"}}\n"
            );
            line.extend_from_slice(note.as_bytes());
        }
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {
        // Lines are written as they arrive, so only the last ones before the process exits may need time.
        std::thread::sleep(FLUSH_WAIT);
    }
}

/// Time allowed for writing the last lines before the process exits.
const FLUSH_WAIT: Duration = Duration::from_millis(20);

fn write_lines<W>(rx: &Receiver<Vec<u8>>, mut out: W, dropped: &AtomicU64)
where
    W: Write,
{
    let mut is_torn = false;
    while let Ok(first) = rx.recv() {
        let mut buf = Vec::new();
        if is_torn {
            // Ends the line of which the failed write has left only a part.
            buf.push(b'\n');
        }
        buf.extend_from_slice(&first);
        let mut lines = 1;
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
            lines += 1;
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"{dropped_lines} lines were dropped: the log queue was full or the output could not be written\"}}\n"
            );
            buf.extend_from_slice(note.as_bytes());
        }
        // A failure of the log output itself cannot be logged while it lasts, and may pass, as that of a full disk does.
        is_torn = out.write_all(&buf).and_then(|()| out.flush()).is_err();
        if is_torn {
            dropped.fetch_add(lines + dropped_lines, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
#[path = "log_writer_tests.rs"]
mod tests;
