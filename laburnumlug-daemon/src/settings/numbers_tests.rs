use super::*;

/// Guards against a process that does not start because a bound is written with a point or has a fraction.
#[test]
fn parse_numbers_in_each_form() {
    for text in ["3000", "3000.0", "3e3"] {
        assert_eq!(parse_count(text), Some(3000));
        assert_eq!(parse_millis(text), Some(Duration::from_secs(3)));
    }
    assert_eq!(
        parse_millis("2999.9996"),
        Some(Duration::from_nanos(2_999_999_600))
    );
    assert_eq!(
        parse_window("9.9996"),
        Some(Duration::from_nanos(9_999_600_000))
    );
    assert_eq!(parse_seconds("0.0001"), Some(Duration::from_micros(100)));
    assert_eq!(parse_megabytes("64.5"), Some(64_500_000));
    assert_eq!(parse_millis_from_zero("0"), Some(Duration::ZERO));
    assert_eq!(
        parse_seconds("1e30"),
        Some(Duration::from_secs(1_000_000_000))
    );
}

/// Guards against a mistake that counts as a number.
#[test]
fn parse_numbers_malformed() {
    for text in ["", "-1", "NaN", "inf", "3 s", "3,0", "true"] {
        assert_eq!(parse_non_negative(text), None, "{text}");
        assert_eq!(parse_whole(text), None, "{text}");
        assert_eq!(parse_millis_from_zero(text), None, "{text}");
    }
    assert_eq!(parse_whole("1.5"), None);
    assert_eq!(parse_count("0"), None);
    assert_eq!(parse_millis("0.0"), None);
    assert_eq!(parse_megabytes("0"), None);
    assert_eq!(parse_window("0.0001"), None);
}
