//! `clemctl status`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clementinearch_border::FleetStatus;
use oxhttp::{
    Client,
    model::{Body, Request, StatusCode},
};
use serde_json::json;

use super::Status;
use crate::{
    error::{EXIT_NOT_IN_FORCE, Error},
    output,
};

/// Longest wait for the entry host, which asks all others.
const TIMEOUT: Duration = Duration::from_secs(5);

impl Status {
    /// Asks one entry host about all; exit code 1 unless the newest revision is in force on each.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let status = ask(self.host)?;
        if self.json {
            output::json(&json!(status));
        } else {
            output::fleet(&status);
        }
        Ok(if status.in_force_everywhere {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_NOT_IN_FORCE)
        })
    }
}

fn ask(address: SocketAddr) -> Result<FleetStatus, Error> {
    let failed = |reason: String| Error::Host {
        address: address.to_string(),
        reason,
    };
    let uri = format!("http://{address}/status");
    let req = Request::builder()
        .uri(uri)
        .body(Body::empty())
        .map_err(|e| failed(e.to_string()))?;
    let answer = Client::new()
        .with_global_timeout(TIMEOUT)
        .request(req)
        .map_err(|e| failed(e.to_string()))?;
    if answer.status() != StatusCode::OK {
        return Err(failed(answer.status().to_string()));
    }
    let text = answer
        .into_body()
        .to_string()
        .map_err(|e| failed(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| failed(e.to_string()))
}
