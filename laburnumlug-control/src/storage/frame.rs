//! Checksummed frames; each synced write is one frame.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of a frame header: body length, CRC-32 of the body and CRC-32 of both fields, each a little-endian `u32`.
const HEADER_BYTES: usize = 12;

/// Decoded content of a file that consists of frames.
#[derive(Debug, Eq, PartialEq)]
pub(super) struct DecodedFile<T> {
    /// Bodies of the valid frames, in file order.
    pub(super) items: Vec<T>,
    /// Length in bytes of the valid frames at the start of the file.
    pub(super) valid_bytes: usize,
    /// Whether synced bytes have changed: a valid frame follows an invalid one, or the body of a valid frame cannot be
    /// decoded.
    pub(super) corrupt: bool,
}

/// Encodes one frame.
pub(super) fn encode<T>(item: &T) -> Vec<u8>
where
    T: Serialize,
{
    let mut buf = vec![0; HEADER_BYTES];
    ciborium::into_writer(item, &mut buf).expect("serializing to a Vec should not fail");
    let len = (buf.len() - HEADER_BYTES) as u32;
    buf[0..4].copy_from_slice(&len.to_le_bytes());
    let body_crc = crc32fast::hash(&buf[HEADER_BYTES..]);
    buf[4..8].copy_from_slice(&body_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&buf[0..8]);
    buf[8..12].copy_from_slice(&header_crc.to_le_bytes());
    buf
}

/// Decodes the frames at the start of `bytes`.
pub(super) fn decode<T>(bytes: &[u8]) -> DecodedFile<T>
where
    T: DeserializeOwned,
{
    let mut items = Vec::new();
    let mut start = 0;
    while let Some(body) = body_at(bytes, start) {
        let Ok(item) = ciborium::from_reader(body) else {
            let corrupt = true;
            let valid_bytes = start;
            return DecodedFile {
                items,
                valid_bytes,
                corrupt,
            };
        };
        items.push(item);
        start += HEADER_BYTES + body.len();
    }
    DecodedFile {
        items,
        valid_bytes: start,
        corrupt: (start + 1..bytes.len()).any(|at| body_at(bytes, at).is_some()),
    }
}

/// Returns the body of the frame at `start` if the frame is complete and its checksums match.
fn body_at(bytes: &[u8], start: usize) -> Option<&[u8]> {
    let header = bytes.get(start..start + HEADER_BYTES)?;
    let u32_at = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let len = u32_at(0) as usize;
    if len == 0 || crc32fast::hash(&header[0..8]) != u32_at(8) {
        return None;
    }
    let body = bytes.get(start + HEADER_BYTES..)?.get(..len)?;
    (crc32fast::hash(body) == u32_at(4)).then_some(body)
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn file(items: &[Vec<u32>]) -> Vec<u8> {
        items.iter().flat_map(encode).collect()
    }

    quickcheck! {
        fn decode_truncated_anywhere(items: Vec<Vec<u32>>, cut: usize) -> bool {
            let bytes = file(&items);
            let cut = cut % (bytes.len() + 1);
            let decoded = decode::<Vec<u32>>(&bytes[..cut]);
            decoded.items == items[..decoded.items.len()]
                && decoded.valid_bytes == file(&decoded.items).len()
                && decoded.valid_bytes <= cut
                && !decoded.corrupt
        }

        fn decode_any_flipped_bit(items: Vec<Vec<u32>>, at: usize, bit: u8) -> bool {
            let mut bytes = file(&items);
            if bytes.is_empty() {
                return true;
            }
            let at = at % bytes.len();
            bytes[at] ^= 1 << (bit % 8);
            let decoded = decode::<Vec<u32>>(&bytes);
            let kept = decoded.items.len();
            let is_last = kept + 1 == items.len();
            decoded.items == items[..kept] && kept < items.len() && decoded.corrupt != is_last
        }
    }

    #[test]
    fn decode_zeros_after_end() {
        let mut bytes = file(&[vec![1]]);
        let valid_bytes = bytes.len();
        bytes.extend_from_slice(&[0; 64]);
        let decoded = decode::<Vec<u32>>(&bytes);
        assert_eq!(
            decoded,
            DecodedFile {
                items: vec![vec![1]],
                valid_bytes,
                corrupt: false
            }
        );
    }
}
