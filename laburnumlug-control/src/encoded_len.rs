//! Length of encoded values.

use std::io::{self, Write};

use serde::Serialize;

/// Writer that only counts the bytes that it is given.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl Write for ByteCounter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.bytes += buf.len();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the length in bytes of the encoded form of `value`, without encoding it into memory.
pub(crate) fn encoded_len<T>(value: &T) -> usize
where
    T: Serialize,
{
    let mut counter = ByteCounter::default();
    ciborium::into_writer(value, &mut counter).expect("counting bytes should not fail");
    counter.bytes
}
