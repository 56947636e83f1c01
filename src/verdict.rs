//! Execution outcome of a request, which decides whether it may be retried.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a request may have run at its target.
///
/// Retry decisions depend on this type alone, so every error that concerns a request carries one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request ran and its complete answer is known.
    Ran,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run; nothing proves that it did not.
    MayHaveRun,
}

impl Verdict {
    /// Returns whether another attempt is safe; `repeatable` states whether the request may run more than once.
    pub fn permits_retry(self, repeatable: bool) -> bool {
        match self {
            Verdict::Ran => false,
            Verdict::NotRun => true,
            Verdict::MayHaveRun => repeatable,
        }
    }

    /// Combines the verdicts of two attempts at one request.
    ///
    /// The result is [`Verdict::Ran`] if either attempt ran, and [`Verdict::NotRun`] only if neither can have run.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumlug::Verdict;
    ///
    /// assert_eq!(Verdict::NotRun.combine(Verdict::MayHaveRun), Verdict::MayHaveRun);
    /// assert_eq!(Verdict::NotRun.combine(Verdict::NotRun), Verdict::NotRun);
    /// ```
    pub fn combine(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Returns the value of the `Laburnumlug-Verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Ran => "ran",
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(s: &str) -> Result<Verdict, ParseVerdictError> {
        match s {
            "ran" => Ok(Verdict::Ran),
            "not-run" => Ok(Verdict::NotRun),
            "may-have-run" => Ok(Verdict::MayHaveRun),
            _ => Err(ParseVerdictError {
                found: s.to_string(),
            }),
        }
    }
}

/// Error for a string that is not a [`Verdict`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseVerdictError {
    found: String,
}

impl fmt::Display for ParseVerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unknown verdict {:?}: expected ran, not-run or may-have-run",
            self.found
        )
    }
}

impl Error for ParseVerdictError {}

#[cfg(test)]
mod tests {
    use super::*;

    const ALL: [Verdict; 3] = [Verdict::Ran, Verdict::NotRun, Verdict::MayHaveRun];

    #[test]
    fn verdict_text_round_trip() {
        for verdict in ALL {
            assert_eq!(verdict.as_str().parse(), Ok(verdict));
        }
        assert!("Ran".parse::<Verdict>().is_err());
    }

    #[test]
    fn permits_retry_not_repeatable() {
        assert!(Verdict::NotRun.permits_retry(false));
        assert!(!Verdict::MayHaveRun.permits_retry(false));
        assert!(!Verdict::Ran.permits_retry(true));
    }

    #[test]
    fn combine_not_run_only_if_both() {
        for a in ALL {
            for b in ALL {
                let both_not_run = a == Verdict::NotRun && b == Verdict::NotRun;
                assert_eq!(a.combine(b) == Verdict::NotRun, both_not_run);
                assert_eq!(a.combine(b), b.combine(a));
            }
        }
    }
}
