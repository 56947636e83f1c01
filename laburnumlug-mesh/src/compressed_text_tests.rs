use quickcheck::quickcheck;

use super::*;

quickcheck! {
    fn decompress_returns_compressed_text(text: String) -> bool {
        CompressedText::compress(&text).decompress().unwrap() == text
    }
}

/// Guards the size of a document with 1,500 routes, which every gateway fetches, some over slow links.
#[test]
fn compress_document_of_many_routes() {
    let route = |i| {
        format!(
            r#"{{"name":"route-{i}","host":"h{i}.example","prefix":"/p{i}/","timeout_ms":6000}},"#
        )
    };
    let text: String = (0..1500).map(route).collect();
    let compressed = CompressedText::compress(&text);
    assert!(
        compressed.bytes.len() * 5 < text.len(),
        "{} of {}",
        compressed.bytes.len(),
        text.len()
    );
}

#[test]
fn decompress_corrupt_or_too_long() {
    let corrupt = CompressedText {
        bytes: vec![0xff; 100],
    };
    assert!(corrupt.decompress().is_err());
    let long = "x".repeat(MAX_MESSAGE_BYTES + 1);
    assert!(CompressedText::compress(&long).decompress().is_err());
}
