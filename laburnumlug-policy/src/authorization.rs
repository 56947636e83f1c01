//! Authorization of requests by API keys, and the age of the information on which it may rely.

use std::fmt;
use std::time::Duration;

use crate::control_contact::ControlContact;

/// Age of the last confirmation of the fleet document from which a request is not refused for good.
///
/// The route or the key that it lacks may have been added since. The confirmation is renewed every half second.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(1500);

/// Share of the maximum age up to which keys are accepted.
///
/// The rest is for the way from the decision to the target, and for clocks of different machines that run at slightly
/// different rates.
const KEY_AGE_SHARE: f64 = 0.9;

/// SHA-256 of an API key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyHash(pub [u8; 32]);

impl fmt::Debug for KeyHash {
    /// Writes nothing of the hash: a short key can be found from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash")
    }
}

impl KeyHash {
    /// Parses a hash in hexadecimal.
    pub fn from_hex(text: &str) -> Option<KeyHash> {
        let mut hash = [0; 32];
        if text.len() != 2 * hash.len() {
            return None;
        }
        for (byte, digits) in hash.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let digit = |digit: u8| char::from(digit).to_digit(16);
            *byte = (digit(digits[0])? * 16 + digit(digits[1])?) as u8;
        }
        Some(KeyHash(hash))
    }
}

/// Credentials that a request carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credentials {
    /// No API key.
    None,
    /// One API key.
    Key(KeyHash),
    /// An empty API key, or several credentials.
    Malformed,
}

/// State of the fleet document by which a request is authorized.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentStatus {
    /// Whether the document lists customers, so that requests need API keys.
    pub lists_customers: bool,
    /// Time since a majority of the control replicas was asked to confirm that the document is the newest; `None` if it
    /// never was confirmed.
    pub confirmation_age: Option<Duration>,
    /// Age of the confirmation up to which API keys may be accepted; `None` for any age.
    pub max_key_age: Option<Duration>,
    /// Age of the confirmation up to which routes are obeyed in any case; `None` for any age, also without a confirmation.
    pub max_route_age: Option<Duration>,
    /// Contact with the control replicas that can confirm the document.
    pub contact: ControlContact,
}

impl DocumentStatus {
    /// Returns whether the confirmation is recent enough to state that a route or a key does not exist.
    pub fn permits_final_refusal(&self) -> bool {
        self.confirmation_age
            .is_some_and(|age| age < MAX_REFUSAL_AGE)
    }

    /// Returns whether requests may be served by the routes of the document.
    ///
    /// A change that is acknowledged to an operator is in the log of a majority, so a process that reaches a majority which can
    /// confirm the document waits for that. One that does not goes on with what was confirmed: the replicas may be gone for
    /// long, and a refusal helps no caller.
    ///
    /// Without any confirmation since its start, a process waits as long as it reaches a majority, even if that cannot confirm
    /// anything, or as long as a replica reports a newer change: the document may come from a replica that has fallen behind,
    /// or that was restarted and has only applied its snapshot.
    pub fn permits_routes(&self) -> bool {
        let contact = &self.contact;
        match (self.max_route_age, self.confirmation_age) {
            (None, _) => true,
            (Some(max_age), Some(age)) => age < max_age || !contact.can_confirm,
            (Some(_), None) => !contact.reaches_majority && !contact.newer_logged,
        }
    }

    /// Returns whether the confirmation is recent enough to rely on a key not having been revoked.
    fn permits_keys(&self) -> bool {
        let max_age = self.max_key_age.map(|age| age.mul_f64(KEY_AGE_SHARE));
        self.confirmation_age
            .is_some_and(|age| max_age.is_none_or(|max_age| age < max_age))
    }
}

/// Decision on whether a request is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authorization {
    /// The request is served, for the customer that has its key, if any.
    Serve,
    /// The request lacks a key that the document lists.
    Unauthorized,
    /// The request is not decided, because the document may be outdated.
    Outdated,
}

/// Decides whether a request is served.
///
/// `is_anonymous` states whether its route serves requests without a key, and `is_known_key` whether the document lists the
/// key. A request with an unknown key is never served, as the key may have been revoked.
pub fn authorize(
    document: &DocumentStatus,
    credentials: &Credentials,
    is_anonymous: bool,
    is_known_key: bool,
) -> Authorization {
    match credentials {
        _ if !document.lists_customers => Authorization::Serve,
        Credentials::None if is_anonymous => Authorization::Serve,
        Credentials::Key(_) if is_known_key => match document.permits_keys() {
            true => Authorization::Serve,
            false => Authorization::Outdated,
        },
        _ if document.permits_final_refusal() => Authorization::Unauthorized,
        _ => Authorization::Outdated,
    }
}

#[cfg(test)]
#[path = "authorization_tests.rs"]
mod tests;
