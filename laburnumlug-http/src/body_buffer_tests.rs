use quickcheck::quickcheck;

use super::*;

quickcheck! {
    /// Guards against bytes that are lost or moved where a body outgrows the heap or its mapping.
    fn extend_keeps_bytes(sizes: Vec<u16>, expected: u32) -> bool {
        let mut buf = BodyBuffer::new(expected as usize % (1 << 20));
        let mut bytes = Vec::new();
        for (i, size) in sizes.into_iter().enumerate() {
            let chunk = vec![i as u8; usize::from(size) * 4];
            buf.extend_from_slice(&chunk);
            bytes.extend_from_slice(&chunk);
        }
        buf.len() == bytes.len() && buf.freeze() == bytes
    }
}
