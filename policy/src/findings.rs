//! Findings: all errors in an input, collected with their locations and reported together.

use std::fmt;

use derive_more::Error;

/// Location of a finding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// File or store key.
    pub source: String,
    /// Line number, from one; zero if the finding concerns the whole source.
    pub line: usize,
    /// Dotted path of the field, such as `version[1].state`; may be empty.
    pub field: String,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        Ok(())
    }
}

/// An error in an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where the error is.
    pub location: Location,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// All findings in one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Findings(#[error(not(source))] pub Vec<Finding>);

impl Findings {
    /// Adds a finding that concerns a whole source.
    pub fn add(&mut self, source: &str, message: impl Into<String>) {
        let location = Location {
            source: source.to_owned(),
            ..Location::default()
        };
        self.0.push(Finding {
            location,
            message: message.into(),
        });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns `self` if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
