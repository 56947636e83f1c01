//! Authentication of operators by bearer token.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Name of an operator and the SHA-256 hash of the operator's token.
#[derive(Clone)]
pub struct OperatorToken {
    name: String,
    hash: [u8; 32],
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorToken")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl OperatorToken {
    /// Creates an operator token from the SHA-256 hash of the token, in hexadecimal.
    ///
    /// Returns `None` if `hex` does not consist of 64 hexadecimal digits.
    pub fn from_sha256_hex(name: &str, hex: &str) -> Option<OperatorToken> {
        if hex.len() != 64 || !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut hash = [0; 32];
        for (i, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(OperatorToken {
            name: name.to_string(),
            hash,
        })
    }

    /// Creates an operator token from the token's plain text.
    pub fn from_token(name: &str, token: &str) -> OperatorToken {
        OperatorToken {
            name: name.to_string(),
            hash: Sha256::digest(token).into(),
        }
    }
}

/// Tokens of all operators that may use the interface.
#[derive(Clone, Debug, Default)]
pub struct OperatorTokens {
    tokens: Vec<OperatorToken>,
}

impl OperatorTokens {
    /// Creates a set of operator tokens.
    pub fn new(tokens: Vec<OperatorToken>) -> OperatorTokens {
        OperatorTokens { tokens }
    }

    /// Returns the name of the operator whose token an `Authorization` header carries.
    ///
    /// All tokens are compared, each in constant time, so that the duration does not reveal which one matched.
    pub(crate) fn authenticate(&self, authorization: Option<&str>) -> Option<String> {
        let token = authorization?.strip_prefix("Bearer ")?;
        let hash: [u8; 32] = Sha256::digest(token).into();
        let mut found = None;
        for entry in &self.tokens {
            if bool::from(entry.hash.ct_eq(&hash)) {
                found = Some(entry.name.clone());
            }
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn authenticate_valid_and_invalid_token() {
        let tokens = OperatorTokens::new(vec![OperatorToken::from_token("anna", "secret")]);
        assert_eq!(
            tokens.authenticate(Some("Bearer secret")),
            Some("anna".to_string())
        );
        for invalid in [
            None,
            Some("Bearer other"),
            Some("secret"),
            Some("Basic secret"),
        ] {
            assert_eq!(tokens.authenticate(invalid), None);
        }
    }

    #[test]
    fn from_sha256_hex_valid_and_invalid() {
        let hex = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
        let tokens =
            OperatorTokens::new(vec![OperatorToken::from_sha256_hex("anna", hex).unwrap()]);
        assert_eq!(
            tokens.authenticate(Some("Bearer secret")),
            Some("anna".to_string())
        );
        assert!(OperatorToken::from_sha256_hex("anna", "2b").is_none());
        assert!(OperatorToken::from_sha256_hex("anna", &"+f".repeat(32)).is_none());
    }
}
