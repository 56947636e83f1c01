//! Rules for calls to the platform, checked on a model of interleavings, and the steps that protect them.

use std::collections::BTreeSet;

use laburnumlug::WindowNumber;
use quickcheck::{TestResult, quickcheck};

use super::model::{Model, Omission, REPLICAS};

fn violations(seed: u64, omission: Omission) -> BTreeSet<&'static str> {
    Model::new(seed, omission).run().violations()
}

/// Asserts that the model finds a violation of `rule` if a step is left out.
fn assert_found(omission: Omission, rule: &str) {
    let found = (0..300).any(|seed| violations(seed, omission).contains(rule));
    assert!(found, "{omission:?} does not break: {rule}");
}

quickcheck! {
    /// No interleaving may break a rule.
    fn rules_hold(seed: u64) -> TestResult {
        let broken = violations(seed, Omission::None);
        match broken.is_empty() {
            true => TestResult::passed(),
            false => TestResult::error(format!("seed {seed}: {broken:?}")),
        }
    }
}

/// The model must reach what it is meant to test: reports by several holders, and repeats of a report.
#[test]
fn model_reaches_handovers_and_repeats() {
    let models: Vec<Model> = (0..20)
        .map(|seed| Model::new(seed, Omission::None).run())
        .collect();
    let holders = |model: &Model| {
        let holders: BTreeSet<usize> = model.arrivals.iter().map(|a| a.holder).collect();
        holders.len()
    };
    let windows = |model: &Model| {
        let windows: BTreeSet<WindowNumber> = model.arrivals.iter().map(|a| a.window).collect();
        windows.len()
    };
    assert!(models.iter().any(|model| holders(model) == REPLICAS));
    assert!(
        models
            .iter()
            .any(|model| windows(model) < model.arrivals.len())
    );
    let reported: usize = models.iter().map(windows).sum();
    assert!(reported > 20 * 15, "{reported}");
}

#[test]
fn two_reports_without_fixing() {
    assert_found(Omission::Fixing, "two reports of one window");
}

#[test]
fn two_reports_if_later_fixing_wins() {
    assert_found(Omission::FirstFixingWins, "two reports of one window");
}

#[test]
fn one_token_if_not_the_term() {
    assert_found(Omission::TermAsFence, "two holders with one token");
}

#[test]
fn lower_token_without_confirmation() {
    assert_found(Omission::Confirmation, "a lower token after a higher one");
}

#[test]
fn lower_token_without_expiry() {
    assert_found(Omission::Expiry, "a lower token after a higher one");
}

#[test]
fn turns_within_lease_without_handover() {
    assert_found(Omission::Handover, "holders A, B, A within the lease");
}

#[test]
fn counted_twice_without_maximum() {
    assert_found(
        Omission::MaximumOfTotals,
        "a request counted twice or in another window",
    );
}

#[test]
fn other_window_without_median() {
    assert_found(
        Omission::MedianOfClocks,
        "a request counted twice or in another window",
    );
}
