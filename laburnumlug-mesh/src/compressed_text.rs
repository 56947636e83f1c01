//! DEFLATE compression of texts in messages.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::connection::MAX_MESSAGE_BYTES;
use crate::error::Error;

/// Text compressed with DEFLATE.
///
/// Documents with many similar entries shrink to a tenth or less, which matters on slow or metered links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompressedText {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl CompressedText {
    /// Compresses `text`.
    pub fn compress(text: &str) -> CompressedText {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        CompressedText {
            bytes: bytes.expect("compressing to a Vec should not fail"),
        }
    }

    /// Returns the decompressed text.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid DEFLATE data of UTF-8 text, or if the text is longer than
    /// [`MAX_MESSAGE_BYTES`].
    pub fn decompress(&self) -> Result<String, Error> {
        let mut text = String::new();
        let limit = MAX_MESSAGE_BYTES as u64;
        let mut decoder = DeflateDecoder::new(self.bytes.as_slice()).take(limit + 1);
        decoder.read_to_string(&mut text).map_err(Error::codec)?;
        match text.len() > MAX_MESSAGE_BYTES {
            true => Err(Error::codec(format!(
                "the decompressed text is longer than {limit} bytes"
            ))),
            false => Ok(text),
        }
    }
}

#[cfg(test)]
#[path = "compressed_text_tests.rs"]
mod tests;
