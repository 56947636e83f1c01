//! Buffer of a body that arrives.

use bytes::{Bytes, BytesMut};
use memmap2::{Advice, MmapMut};

/// Maximum size, in bytes, of a body that is kept on the heap.
const MAX_HEAP_BYTES: usize = 16 * 1024;

/// Size, in bytes, of the first mapping of a body without a declared length.
const MIN_MAPPING_BYTES: usize = 64 * 1024;

/// Appends the chunks of a body.
///
/// Larger bodies have a mapping of their own, so that dropping one gives its memory back to the system. On the heap, bodies of
/// many sizes that come and go leave holes, and the process occupies several times what the memory budget counts.
pub(crate) struct BodyBuffer {
    storage: Storage,
    /// Number of bytes that the body is expected to have, 0 if that is not known.
    expected: usize,
}

enum Storage {
    Heap(BytesMut),
    Mapping { mapping: MmapMut, len: usize },
}

impl BodyBuffer {
    /// Creates the buffer of a body with this declared length, or 0 without one.
    pub(crate) fn new(expected: usize) -> BodyBuffer {
        BodyBuffer {
            storage: Storage::Heap(BytesMut::new()),
            expected,
        }
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapping { len, .. } => *len,
        }
    }

    /// Appends bytes.
    pub(crate) fn extend_from_slice(&mut self, chunk: &[u8]) {
        let new_len = self.len() + chunk.len();
        match &mut self.storage {
            Storage::Mapping { mapping, len } if new_len <= mapping.len() => {
                mapping[*len..new_len].copy_from_slice(chunk);
                *len = new_len;
            }
            Storage::Heap(bytes) if new_len <= MAX_HEAP_BYTES => bytes.extend_from_slice(chunk),
            Storage::Heap(_) | Storage::Mapping { .. } => self.grow(chunk),
        }
    }

    /// Moves the bytes to a larger mapping, and appends `chunk`.
    fn grow(&mut self, chunk: &[u8]) {
        let new_len = self.len() + chunk.len();
        // Pages that were not written to occupy no memory.
        let capacity = match new_len <= self.expected {
            true => self.expected,
            false => new_len.next_power_of_two().max(MIN_MAPPING_BYTES),
        };
        let (former, mapped) = (self.as_slice(), MmapMut::map_anon(capacity));
        self.storage = match mapped {
            Ok(mut mapping) => {
                // A huge page would occupy memory that the body does not fill.
                if let Err(err) = mapping.advise(Advice::NoHugePage) {
                    log::trace!("failed to rule out huge pages for a body: {err}");
                }
                mapping[..former.len()].copy_from_slice(former);
                mapping[former.len()..new_len].copy_from_slice(chunk);
                Storage::Mapping {
                    mapping,
                    len: new_len,
                }
            }
            Err(err) => {
                log::warn!("failed to map {capacity} bytes for a body, using the heap: {err}");
                let mut bytes = BytesMut::with_capacity(new_len);
                bytes.extend_from_slice(former);
                bytes.extend_from_slice(chunk);
                Storage::Heap(bytes)
            }
        };
    }

    fn as_slice(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Mapping { mapping, len } => &mapping[..*len],
        }
    }

    /// Returns the bytes, whose memory is released when the last part of them is dropped.
    pub(crate) fn freeze(self) -> Bytes {
        match self.storage {
            Storage::Heap(bytes) => bytes.freeze(),
            Storage::Mapping { mapping, len } => Bytes::from_owner(mapping).slice(..len),
        }
    }
}

#[cfg(test)]
#[path = "body_buffer_tests.rs"]
mod tests;
