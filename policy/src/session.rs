//! Signed session tokens, with which a caller carries the model version of its session.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::names::Name;

/// Binding of a session to a model version, which is the payload of its token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionPin {
    /// Client account of the session.
    pub account: String,
    /// Session id chosen by the caller.
    pub session: String,
    /// Name of the model.
    pub model: String,
    /// Version that the session began on.
    pub version: String,
}

/// Signs and verifies session tokens with HMAC-SHA-256.
#[derive(Clone)]
pub struct SessionSigner {
    secret: Name,
}

impl SessionSigner {
    /// Creates a signer with the secret that all entry hosts share.
    pub fn new(secret: Name) -> Self {
        Self { secret }
    }

    fn mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(payload);
        mac
    }

    /// Returns the token for a session.
    pub fn sign(&self, pin: &SessionPin) -> String {
        let payload = serde_json::to_vec(pin).unwrap_or_default();
        let signature = self.mac(&payload).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(payload),
            URL_SAFE_NO_PAD.encode(signature)
        )
    }

    /// Returns the session of a token, or `None` if its signature is invalid.
    pub fn verify(&self, token: &str) -> Option<SessionPin> {
        let (payload, signature) = token.split_once('.')?;
        let payload = URL_SAFE_NO_PAD.decode(payload).ok()?;
        let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
        self.mac(&payload).verify_slice(&signature).ok()?;
        serde_json::from_slice(&payload).ok()
    }
}
