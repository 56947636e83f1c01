//! Explains crashes by as few of their suspects as possible.

use std::collections::HashMap;
use std::time::Duration;

use crate::crash_attribution::{BlockedSuspect, Suspect, TargetCrash, time_between};

/// Number of crashes from which a suspect is blocked; what an unrelated request holds is seldom in two.
const MIN_CRASHES_TO_BLOCK: usize = 2;

/// Duration of the block of a prompt part after [`MIN_CRASHES_TO_BLOCK`] crashes. It doubles with each further crash.
pub(crate) const FIRST_PART_BLOCK_TIME: Duration = Duration::from_secs(30);

/// Maximum number of requests that are blocked after one crash. If there are more, the loss of another target costs less
/// than the refusal of all.
const MAX_CONTENTS_OF_ONE_CRASH: usize = 8;

/// Duration of the block of a request's content after one crash.
pub(crate) const FIRST_CONTENT_BLOCK_TIME: Duration = Duration::from_secs(30);

/// Factor by which the block of a content grows with each further crash. It concerns only repeats of one request, so it
/// grows faster than that of a part, which sound prompts may share.
const CONTENT_BLOCK_FACTOR: u32 = 8;

/// Maximum duration of a block.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(1800);

/// Time between crashes within which they may have a common cause other than requests, such as a power failure.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(200);

/// Blocked suspects.
pub(crate) type Blocks = HashMap<Suspect, BlockedSuspect>;

/// Returns the prompt parts to block.
///
/// The part that explains most crashes is taken first; others have to explain crashes that remain.
pub(crate) fn blocked_parts(crashes: &[&TargetCrash]) -> Blocks {
    let mut unexplained = crashes.to_vec();
    let mut blocked = Blocks::new();
    while let Some((part, count)) = most_frequent_part(&unexplained) {
        let is_explained = |crash: &TargetCrash| crash.suspects.contains(&part);
        let latest = unexplained.iter().rfind(|crash| is_explained(crash));
        if let Some(latest) = latest {
            let block = BlockedSuspect {
                suspect: part,
                crashes: count,
                latest_at: latest.at,
                until: latest.at + part_block_time(count),
            };
            blocked.insert(part, block);
        }
        unexplained.retain(|crash| !is_explained(crash));
    }
    blocked
}

/// Returns the contents of requests to block, where `parts` are the blocked parts.
///
/// Each crash is attributed to those of its contents that are in most crashes. After a crash at another time than all
/// others that no part explains, the few requests that can be the cause are blocked until another crash tells which of them
/// is, as each may cost a further target.
pub(crate) fn blocked_contents(crashes: &[&TargetCrash], parts: &Blocks) -> Blocks {
    let contents = |crash: &TargetCrash| -> Vec<Suspect> {
        let suspects = crash.suspects.iter().copied();
        suspects.filter(is_content).collect()
    };
    let counts = count_crashes(crashes, is_content);
    let mut blocked = Blocks::new();
    for group in simultaneous_crashes(crashes) {
        for crash in group {
            let contents = contents(crash);
            let count_of = |content: &Suspect| counts.get(content).copied().unwrap_or_default();
            let max = contents.iter().map(count_of).max().unwrap_or_default();
            let is_explained = crash.suspects.iter().any(|part| parts.contains_key(part));
            let is_isolated = group.len() == 1 && contents.len() <= MAX_CONTENTS_OF_ONE_CRASH;
            if max < MIN_CRASHES_TO_BLOCK && (is_explained || !is_isolated) {
                continue;
            }
            for content in contents
                .into_iter()
                .filter(|content| count_of(content) == max)
            {
                let until = crash.at + content_block_time(max);
                let block = BlockedSuspect {
                    suspect: content,
                    crashes: max,
                    latest_at: crash.at,
                    until,
                };
                blocked.insert(content, block);
            }
        }
    }
    blocked
}

/// Returns the part that explains most crashes and their number, if they are enough to block it.
///
/// Of parts that explain as many, the one furthest from the start of the prompt is taken, as more prompts share the
/// parts before it.
fn most_frequent_part(crashes: &[&TargetCrash]) -> Option<(Suspect, usize)> {
    let counts = count_crashes(crashes, |suspect| !is_content(suspect));
    let max = *counts.values().max()?;
    if max < MIN_CRASHES_TO_BLOCK {
        return None;
    }
    let is_most_frequent = |part: &&Suspect| counts.get(part) == Some(&max);
    let mut latest_first = crashes.iter().rev();
    let part = latest_first.find_map(|crash| crash.suspects.iter().rfind(is_most_frequent))?;
    Some((*part, max))
}

/// Returns the number of crashes that each suspect explains, of the suspects for which `is_counted` returns true.
fn count_crashes<F>(crashes: &[&TargetCrash], is_counted: F) -> HashMap<Suspect, usize>
where
    F: Fn(&Suspect) -> bool,
{
    let mut counts: HashMap<Suspect, usize> = HashMap::new();
    for group in simultaneous_crashes(crashes) {
        let mut in_group: HashMap<Suspect, usize> = HashMap::new();
        let suspects = group.iter().flat_map(|crash| &crash.suspects);
        for suspect in suspects.filter(|suspect| is_counted(suspect)) {
            *in_group.entry(*suspect).or_default() += 1;
        }
        for (suspect, count) in in_group {
            // Crashes at the same time count as one unless the suspect is in most of them.
            let count = if 2 * count > group.len() { count } else { 1 };
            *counts.entry(suspect).or_default() += count;
        }
    }
    counts
}

/// Divides crashes into groups that may each have a common cause.
fn simultaneous_crashes<'a>(
    crashes: &'a [&'a TargetCrash],
) -> impl Iterator<Item = &'a [&'a TargetCrash]> {
    crashes.chunk_by(|a, b| time_between(a.at, b.at) < COMMON_CAUSE_TIME)
}

fn is_content(suspect: &Suspect) -> bool {
    matches!(suspect, Suspect::Content(_))
}

fn part_block_time(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(MIN_CRASHES_TO_BLOCK).min(16);
    FIRST_PART_BLOCK_TIME
        .saturating_mul(1 << doublings)
        .min(MAX_BLOCK_TIME)
}

fn content_block_time(crashes: usize) -> Duration {
    let repeats = crashes.saturating_sub(1).min(8) as u32;
    FIRST_CONTENT_BLOCK_TIME
        .saturating_mul(CONTENT_BLOCK_FACTOR.pow(repeats))
        .min(MAX_BLOCK_TIME)
}
