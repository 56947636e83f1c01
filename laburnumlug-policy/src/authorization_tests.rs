use super::*;

const KEY: Credentials = Credentials::Key(KeyHash([7; 32]));

fn document(age_ms: Option<u64>) -> DocumentStatus {
    DocumentStatus {
        lists_customers: true,
        confirmation_age: age_ms.map(Duration::from_millis),
        max_key_age: Some(Duration::from_millis(5000)),
        max_route_age: Some(Duration::from_millis(2000)),
        contact: ControlContact::default(),
    }
}

/// Guards against a revoked key that is accepted after the bound, and against keys that are refused before it.
#[test]
fn authorize_known_key_by_age() {
    let decide = |document: DocumentStatus| authorize(&document, &KEY, false, true);
    assert_eq!(decide(document(None)), Authorization::Outdated);
    assert_eq!(decide(document(Some(4499))), Authorization::Serve);
    assert_eq!(decide(document(Some(4500))), Authorization::Outdated);
    assert_eq!(
        authorize(&document(Some(4500)), &KEY, true, true),
        Authorization::Outdated
    );
    let unlimited = |age_ms| DocumentStatus {
        max_key_age: None,
        ..document(age_ms)
    };
    assert_eq!(decide(unlimited(Some(1 << 40))), Authorization::Serve);
    assert_eq!(decide(unlimited(None)), Authorization::Outdated);
}

/// Guards against a final refusal of a key that a newer document lists, and against running a request with an unknown key
/// because its route is anonymous.
#[test]
fn authorize_without_known_key() {
    for (age_ms, refusal) in [
        (Some(1499), Authorization::Unauthorized),
        (Some(1500), Authorization::Outdated),
        (None, Authorization::Outdated),
    ] {
        let document = document(age_ms);
        for is_anonymous in [false, true] {
            for credentials in [KEY, Credentials::Malformed] {
                let decision = authorize(&document, &credentials, is_anonymous, false);
                assert_eq!(decision, refusal, "{age_ms:?} {credentials:?}");
            }
        }
        let keyless = |is_anonymous| authorize(&document, &Credentials::None, is_anonymous, false);
        assert_eq!(keyless(false), refusal);
        assert_eq!(keyless(true), Authorization::Serve);
    }
}

/// Deployments without customers are served whatever the credentials are.
#[test]
fn authorize_without_customers() {
    let document = DocumentStatus {
        lists_customers: false,
        ..document(None)
    };
    for credentials in [Credentials::None, KEY, Credentials::Malformed] {
        let decision = authorize(&document, &credentials, false, false);
        assert_eq!(decision, Authorization::Serve);
    }
}

#[test]
fn key_hash_from_hex() {
    let text = format!("0aff{}", "00".repeat(30));
    let hash = KeyHash::from_hex(&text).unwrap();
    assert_eq!(hash.0[..3], [0x0a, 0xff, 0]);
    assert_eq!(format!("{hash:?}"), "KeyHash");
    for malformed in ["", "0a", &text.replace('f', "g"), &format!("{text}0")] {
        assert_eq!(KeyHash::from_hex(malformed), None);
    }
}

/// Guards against requests that are served by routes which a newer, acknowledged document does not have, and against refusals while
/// no majority of the control replicas can be reached.
#[test]
fn permits_routes_by_age_and_contact() {
    let decide = |age_ms, contact: ControlContact| {
        let document = document(age_ms);
        DocumentStatus {
            contact,
            ..document
        }
        .permits_routes()
    };
    for bits in 0..8 {
        let contact = ControlContact {
            reaches_majority: bits & 1 > 0,
            can_confirm: bits & 2 > 0,
            newer_logged: bits & 4 > 0,
        };
        assert!(decide(Some(1999), contact));
        assert_eq!(decide(Some(2000), contact), !contact.can_confirm);
        let is_isolated = !contact.reaches_majority && !contact.newer_logged;
        assert_eq!(decide(None, contact), is_isolated);
    }
    let unlimited = DocumentStatus {
        max_route_age: None,
        ..document(None)
    };
    assert!(unlimited.permits_routes());
}
