use quickcheck::quickcheck;

use super::*;

quickcheck! {
    fn unpack_returns_what_was_packed(text: String) -> bool {
        PackedText::pack(&text).unpack().unwrap() == text
    }
}

/// Pattern: a configuration grows to thousands of routes, and each gateway on a slow link fetches it.
#[test]
fn pack_document_of_many_routes() {
    let route = |i| {
        format!(
            r#"{{"name":"route-{i}","host":"h{i}.example","prefix":"/p{i}/","timeout_ms":6000}},"#
        )
    };
    let text: String = (0..1500).map(route).collect();
    let packed = PackedText::pack(&text);
    assert!(
        packed.bytes.len() * 5 < text.len(),
        "{} of {}",
        packed.bytes.len(),
        text.len()
    );
}

#[test]
fn unpack_damaged_or_too_long() {
    let damaged = PackedText {
        bytes: vec![0xff; 100],
    };
    assert!(damaged.unpack().is_err());
    let long = "x".repeat(MAX_MESSAGE_BYTES + 1);
    assert!(PackedText::pack(&long).unpack().is_err());
}
