//! Rate limit of log lines, and outputs that block or fail.

use std::sync::mpsc::{Sender, channel};

use super::*;

fn kind(cause: &str) -> LineKind {
    ("module", 1, cause.to_string())
}

/// Guards against a burst of refusals for one cause that suppresses the lines of other causes.
#[test]
fn admit_bounds_each_cause() {
    let now = Instant::now();
    let mut limiter = RateLimiter::default();
    let admitted = (0..10_000)
        .filter(|_| limiter.admit(now, kind("busy")).is_some())
        .count();
    assert_eq!(admitted as f64, BURST_LINES);
    assert_eq!(limiter.admit(now, kind("no-route")), Some(0));
    // The next admitted line reports how many were suppressed.
    let later = now + Duration::from_secs(1);
    assert_eq!(
        limiter.admit(later, kind("busy")),
        Some(10_000 - BURST_LINES as u64)
    );
    assert_eq!(limiter.admit(later, kind("busy")), Some(0));
}

/// Writer that blocks until it is released.
struct BlockingWriter {
    release: Receiver<()>,
}

impl Write for BlockingWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let _ = self.release.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writer whose disk is full after the first bytes of the first line, and then has room again.
struct FullDisk {
    writes: usize,
    tx: Sender<Vec<u8>>,
}

impl Write for FullDisk {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.writes += 1;
        let written = match self.writes {
            1 => 9,
            2 => return Err(std::io::ErrorKind::StorageFull.into()),
            _ => buf.len(),
        };
        let _ = self.tx.send(buf[..written].to_vec());
        Ok(written)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn append_line(writer: &LogWriter, text: &str) {
    let mut record = Record::builder();
    record.module_path_static(Some("module"));
    writer
        .append(&record.args(format_args!("{text}")).build())
        .unwrap();
}

/// Guards against a log that ends for good with the first line that a full disk refuses.
#[test]
fn append_after_full_disk() {
    let (tx, rx) = channel();
    let writer = LogWriter::start(FullDisk { writes: 0, tx });
    append_line(&writer, "lost");
    let until = Instant::now() + Duration::from_secs(10);
    while writer.dropped.load(Ordering::Relaxed) == 0 {
        assert!(
            Instant::now() < until,
            "the line that failed is not counted"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    append_line(&writer, "kept");
    let mut written = rx.recv_timeout(Duration::from_secs(10)).unwrap();
    written.extend(rx.recv_timeout(Duration::from_secs(10)).unwrap());
    let text = String::from_utf8(written).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[1].contains("kept"), "{text}");
    assert!(lines[2].contains("1 lines were dropped"), "{text}");
}

/// Guards against requests that wait for the log after its reader has stopped reading.
#[test]
fn append_to_blocked_output_does_not_wait() {
    let (tx, release) = channel();
    let writer = LogWriter::start(BlockingWriter { release });
    for line in 0..3 * MAX_QUEUED_LINES as u32 {
        let record = Record::builder()
            .args(format_args!("line"))
            .module_path_static(Some("module"))
            .line(Some(line))
            .build();
        writer.append(&record).unwrap();
    }
    assert!(writer.dropped.load(Ordering::Relaxed) > 0);
    drop(tx);
}
