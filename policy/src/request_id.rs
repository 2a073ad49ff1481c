//! Request ids: UUID version 7, whose time tells where the request's records are kept.

use std::time::Duration;

use derive_more::{Display, Error};
use uuid::{NoContext, Timestamp, Uuid};

use crate::time::Millis;

/// How far a caller's clock may run ahead of the host's.
pub const CLOCK_TOLERANCE: Duration = Duration::from_secs(300);

/// How long an id is recognised after its time.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Id of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(Uuid);

/// Why an id is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RequestIdError {
    /// Not a UUID of version 7.
    #[display("is not a UUID of version 7")]
    Malformed,
    /// Its time is older than the retention.
    #[display("is older than the 24 hours for which ids are recognised")]
    Expired,
    /// Its time lies ahead of the host's clock.
    #[display("lies more than five minutes ahead of the host's clock")]
    Ahead,
}

impl RequestId {
    /// A fresh id.
    pub fn new(now: Millis) -> Self {
        let nanos = (now.0 % 1000) as u32 * 1_000_000;
        Self(Uuid::new_v7(Timestamp::from_unix(
            NoContext,
            now.0 / 1000,
            nanos,
        )))
    }

    /// Reads a caller's id.
    ///
    /// # Errors
    ///
    /// Returns why the id cannot be used at `now`.
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

    /// The id of a record, at whatever time; absent unless it is a UUID of version 7.
    pub fn parse_any_age(text: &str) -> Option<Self> {
        Uuid::try_parse(text)
            .ok()
            .filter(|uuid| uuid.get_version_num() == 7)
            .map(Self)
    }

    /// The id as a number, for compact state.
    pub fn number(&self) -> u128 {
        self.0.as_u128()
    }

    /// The id of a number that came from [`RequestId::number`].
    pub fn from_number(number: u128) -> Self {
        Self(Uuid::from_u128(number))
    }

    /// The time within the id.
    pub fn time(&self) -> Millis {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |time| time.to_unix());
        Millis(seconds * 1000 + u64::from(nanos) / 1_000_000)
    }

    /// The id in 32 hexadecimal digits.
    pub fn simple(&self) -> String {
        self.0.simple().to_string()
    }
}
