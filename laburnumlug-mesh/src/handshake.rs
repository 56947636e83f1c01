//! Challenge-response handshake that proves to each peer that the other holds the same key.

use std::fmt::Write;

use hmac::{Hmac, Mac};
use laburnumlug::Incarnation;
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Unique id of a connection, known to both peers and never reused.
pub type SessionId = String;

const NONCE_BYTES: usize = 32;

/// Number of hash bytes in a session id.
const SESSION_ID_BYTES: usize = 16;

/// Secret key shared by the processes of this system.
#[derive(Clone)]
pub struct MeshKey {
    secret: String,
}

impl std::fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MeshKey(..)")
    }
}

/// Side of a connection that makes a proof; part of the MAC, so that a proof cannot be reflected.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    Client,
    Server,
}

/// Handshake messages, in the order in which they are sent.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Handshake {
    /// From the server: its nonce.
    Challenge(#[serde(with = "serde_bytes")] Vec<u8>),
    /// From the client: its nonce and its proof.
    Answer {
        #[serde(with = "serde_bytes")]
        nonce: Vec<u8>,
        #[serde(with = "serde_bytes")]
        proof: Vec<u8>,
    },
    /// From the server: its proof and the incarnation of its process.
    Welcome {
        #[serde(with = "serde_bytes")]
        proof: Vec<u8>,
        incarnation: Option<Incarnation>,
    },
}

impl MeshKey {
    /// Creates a key from the configured secret.
    pub fn new(secret: &str) -> MeshKey {
        MeshKey {
            secret: secret.to_string(),
        }
    }

    pub(crate) fn prove(&self, side: Side, server_nonce: &[u8], client_nonce: &[u8]) -> Vec<u8> {
        self.mac(side, server_nonce, client_nonce)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Verifies a proof in constant time.
    pub(crate) fn verify(
        &self,
        side: Side,
        server_nonce: &[u8],
        client_nonce: &[u8],
        proof: &[u8],
    ) -> bool {
        self.mac(side, server_nonce, client_nonce)
            .verify_slice(proof)
            .is_ok()
    }

    fn mac(&self, side: Side, server_nonce: &[u8], client_nonce: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(match side {
            Side::Client => b"client",
            Side::Server => b"server",
        });
        mac.update(server_nonce);
        mac.update(client_nonce);
        mac
    }
}

/// Derives the session id from the nonces of both peers.
pub(crate) fn derive_session_id(server_nonce: &[u8], client_nonce: &[u8]) -> SessionId {
    let mut hasher = Sha256::new();
    hasher.update(server_nonce);
    hasher.update(client_nonce);
    let mut id = String::new();
    for byte in &hasher.finalize()[..SESSION_ID_BYTES] {
        let _ = write!(id, "{byte:02x}");
    }
    id
}

pub(crate) fn new_nonce() -> Vec<u8> {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_same_key() {
        let key = MeshKey::new("a");
        let proof = key.prove(Side::Client, b"s", b"c");
        assert!(key.verify(Side::Client, b"s", b"c", &proof));
    }

    #[test]
    fn verify_other_key() {
        let proof = MeshKey::new("a").prove(Side::Client, b"s", b"c");
        assert!(!MeshKey::new("b").verify(Side::Client, b"s", b"c", &proof));
    }

    #[test]
    fn verify_reflected_proof() {
        let key = MeshKey::new("a");
        let proof = key.prove(Side::Client, b"s", b"c");
        assert!(!key.verify(Side::Server, b"s", b"c", &proof));
    }
}
