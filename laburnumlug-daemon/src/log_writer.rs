//! Writes log lines from a thread of its own, within bounds of volume.

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

/// Most lines that wait to be written; with more, lines are left out rather than requests delayed.
const MAX_WAITING: usize = 4096;

/// Lines of one kind and cause that may come at once.
const BURST_LINES: f64 = 100.0;

/// Lines a second of one kind and cause that are written in the long run.
const LINES_PER_SECOND: f64 = 20.0;

/// Most kinds that are told apart.
const MAX_KINDS: usize = 1024;

/// Where a line comes from, and its cause: lines alike in both are of one kind.
type Kind = (&'static str, u32, String);

/// Token bucket of one kind.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
    left_out: u64,
}

/// Limits of the volume of each kind of line.
#[derive(Debug, Default)]
pub(crate) struct VolumeLimit {
    buckets: HashMap<Kind, Bucket>,
}

impl VolumeLimit {
    /// Returns how many lines of the kind were left out before this one, or `None` where it is left out, too.
    pub(crate) fn admit(&mut self, now: Instant, kind: Kind) -> Option<u64> {
        if self.buckets.len() >= MAX_KINDS && !self.buckets.contains_key(&kind) {
            self.buckets.clear();
        }
        let bucket = self.buckets.entry(kind).or_insert(Bucket {
            tokens: BURST_LINES,
            filled_at: now,
            left_out: 0,
        });
        let age = now
            .saturating_duration_since(bucket.filled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + age * LINES_PER_SECOND).min(BURST_LINES);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            bucket.left_out += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.left_out))
    }
}

/// Appender whose callers never wait for the reader of the log.
#[derive(Debug)]
pub(crate) struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    limit: Mutex<VolumeLimit>,
    /// Lines that found no room.
    left_out: Arc<AtomicU64>,
    encoder: JsonEncoder,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start<W>(out: W) -> LogWriter
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_WAITING);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = left_out.clone();
        std::thread::spawn(move || write_lines(&rx, out, &counted));
        LogWriter {
            tx,
            limit: Mutex::default(),
            left_out,
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
        let admitted = match self.limit.lock() {
            Ok(mut limit) => limit.admit(Instant::now(), kind),
            Err(_) => return Ok(()),
        };
        let Some(left_out) = admitted else {
            return Ok(());
        };
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        let mut line = line.0;
        if left_out > 0 {
            let note = format!(
                "{{\"level\":\"INFO\",\"message\":\"{left_out} lines like the last one were left out\"}}\n"
            );
            line.extend_from_slice(note.as_bytes());
        }
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.left_out.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {
        // Lines are written as they come; at the end of a process the thread gets a moment for the last ones.
        std::thread::sleep(FLUSH_TIME);
    }
}

/// Time for the last lines at the end of a process.
const FLUSH_TIME: Duration = Duration::from_millis(20);

fn write_lines<W>(rx: &Receiver<Vec<u8>>, mut out: W, left_out: &AtomicU64)
where
    W: Write,
{
    while let Ok(first) = rx.recv() {
        let mut buf = first;
        while let Ok(line) = rx.try_recv() {
            buf.extend_from_slice(&line);
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"message\":\"{missing} lines found no room\"}}\n");
            buf.extend_from_slice(note.as_bytes());
        }
        // Nobody can be told that the log itself cannot be written.
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::channel;

    use super::*;

    fn kind(cause: &str) -> Kind {
        ("module", 1, cause.to_string())
    }

    /// Pattern: a burst of refusals for one cause.
    #[test]
    fn admit_bounds_each_cause() {
        let now = Instant::now();
        let mut limit = VolumeLimit::default();
        let admitted = (0..10_000)
            .filter(|_| limit.admit(now, kind("busy")).is_some())
            .count();
        assert_eq!(admitted as f64, BURST_LINES);
        assert_eq!(limit.admit(now, kind("no-route")), Some(0));
        // The next line that passes tells how many did not.
        let later = now + Duration::from_secs(1);
        assert_eq!(
            limit.admit(later, kind("busy")),
            Some(10_000 - BURST_LINES as u64)
        );
        assert_eq!(limit.admit(later, kind("busy")), Some(0));
    }

    /// Writer that blocks until it is released.
    struct Blocked {
        release: Receiver<()>,
    }

    impl Write for Blocked {
        fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
            let _ = self.release.recv();
            Ok(buf.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    /// Pattern: whoever reads the log has stopped reading; requests go on.
    #[test]
    fn append_to_blocked_output_does_not_wait() {
        let (tx, release) = channel();
        let writer = LogWriter::start(Blocked { release });
        for line in 0..3 * MAX_WAITING as u32 {
            let record = Record::builder()
                .args(format_args!("line"))
                .module_path_static(Some("module"))
                .line(Some(line))
                .build();
            writer.append(&record).unwrap();
        }
        assert!(writer.left_out.load(Ordering::Relaxed) > 0);
        drop(tx);
    }
}
