//! Compressed texts within messages.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::connection::MAX_MESSAGE_BYTES;
use crate::error::Error;

/// Text in DEFLATE compression.
///
/// Documents of many like entries shrink to a tenth or less, which counts where a link is slow or priced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedText {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl PackedText {
    /// Compresses a text.
    pub fn pack(text: &str) -> PackedText {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(text.as_bytes());
        let bytes = packed.and_then(|()| encoder.finish());
        PackedText {
            bytes: bytes.expect("writing to memory does not fail"),
        }
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no compressed text of at most [`MAX_MESSAGE_BYTES`] bytes.
    pub fn unpack(&self) -> Result<String, Error> {
        let mut text = String::new();
        let limit = MAX_MESSAGE_BYTES as u64;
        let mut decoder = DeflateDecoder::new(self.bytes.as_slice()).take(limit + 1);
        decoder.read_to_string(&mut text).map_err(Error::codec)?;
        match text.len() > MAX_MESSAGE_BYTES {
            true => Err(Error::codec(format!("a text of over {limit} bytes"))),
            false => Ok(text),
        }
    }
}

#[cfg(test)]
#[path = "packed_tests.rs"]
mod tests;
