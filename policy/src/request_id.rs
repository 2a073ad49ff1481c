//! Request ids: version 7 UUIDs, whose timestamp determines where the request's records are stored.

use std::time::Duration;

use derive_more::{Display, Error};
use uuid::{NoContext, Timestamp, Uuid};

use crate::time::Millis;

/// Maximum by which a caller's clock may run ahead of the host's.
pub const CLOCK_TOLERANCE: Duration = Duration::from_secs(300);

/// How long after its timestamp an id is accepted.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Caller-supplied id of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(Uuid);

/// Reason for rejecting a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RequestIdError {
    /// Not a UUID of version 7.
    #[display("is not a UUID of version 7")]
    Malformed,
    /// Its timestamp is older than [`RETENTION`].
    #[display("is older than the 24 hours for which ids are recognised")]
    Expired,
    /// Its timestamp is ahead of the host's clock by more than [`CLOCK_TOLERANCE`].
    #[display("is more than five minutes ahead of the host's clock")]
    Ahead,
}

impl RequestId {
    /// Generates an id with the timestamp `now`.
    pub fn new(now: Millis) -> Self {
        let nanos = (now.0 % 1000) as u32 * 1_000_000;
        Self(Uuid::new_v7(Timestamp::from_unix(
            NoContext,
            now.0 / 1000,
            nanos,
        )))
    }

    /// Parses a caller's id and checks its timestamp against `now`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a version 7 UUID, or if its timestamp is too old or in the future.
    pub fn parse(text: &str, now: Millis) -> Result<Self, RequestIdError> {
        let uuid = Uuid::try_parse(text).map_err(|_| RequestIdError::Malformed)?;
        if uuid.get_version_num() != 7 {
            return Err(RequestIdError::Malformed);
        }
        let id = Self(uuid);
        if now.since(id.time()) > RETENTION {
            return Err(RequestIdError::Expired);
        }
        if id.time() > now.after(CLOCK_TOLERANCE) {
            return Err(RequestIdError::Ahead);
        }
        Ok(id)
    }

    /// Parses the id of a stored record without checking its timestamp; `None` if it is not a
    /// version 7 UUID.
    pub fn parse_any_age(text: &str) -> Option<Self> {
        Uuid::try_parse(text)
            .ok()
            .filter(|uuid| uuid.get_version_num() == 7)
            .map(Self)
    }

    /// Returns the id as a number, for compact state.
    pub fn number(&self) -> u128 {
        self.0.as_u128()
    }

    /// Restores an id from the result of [`RequestId::number`].
    pub fn from_number(number: u128) -> Self {
        Self(Uuid::from_u128(number))
    }

    /// Returns the timestamp within the id.
    pub fn time(&self) -> Millis {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |time| time.to_unix());
        Millis(seconds * 1000 + u64::from(nanos) / 1_000_000)
    }

    /// Formats the id as 32 hexadecimal digits.
    pub fn simple(&self) -> String {
        self.0.simple().to_string()
    }
}
