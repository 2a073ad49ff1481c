//! Whether a response belongs to the request that was sent last on its connection.

/// Which request a response names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerId {
    /// The request that was sent.
    Own,
    /// None.
    Absent,
    /// Another request, or more than one.
    #[default]
    Other,
}

impl AnswerId {
    /// Compares the ids in a response with that of the request that was sent.
    pub fn new<'a>(mut ids: impl Iterator<Item = &'a [u8]>, own: &str) -> Self {
        match ids.next() {
            None => Self::Absent,
            Some(first) if first == own.as_bytes() && ids.all(|id| id == first) => Self::Own,
            Some(_) => Self::Other,
        }
    }

    /// Whether the response is an answer to the request. One that names no request could, on a
    /// connection that had carried others before, be a late answer to one of them.
    pub fn is_believed(self, has_carried_others: bool) -> bool {
        match self {
            Self::Own => true,
            Self::Absent => !has_carried_others,
            Self::Other => false,
        }
    }
}
