//! `clemctl status`: prints the configuration status of all entry hosts.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clementinearch_border::FleetStatus;
use oxhttp::{
    Client,
    model::{Body, Request, StatusCode},
};
use serde_json::json;

use super::Status;
use crate::{
    error::{EXIT_NEGATIVE, Error},
    output,
};

/// Timeout of the status request, during which the entry host asks all others.
const TIMEOUT: Duration = Duration::from_secs(5);

impl Status {
    /// Prints the status of all entry hosts as reported by one of them; the exit code is 1 unless
    /// the newest revision is in force on every host.
    pub(crate) fn run(self) -> Result<ExitCode, Error> {
        let status = request_status(self.host)?;
        if self.json {
            output::print_json(&json!(status));
        } else {
            output::print_fleet(&status);
        }
        Ok(if status.in_force_everywhere {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_NEGATIVE)
        })
    }
}

fn request_status(address: SocketAddr) -> Result<FleetStatus, Error> {
    let failed = |reason: String| Error::Host {
        address: address.to_string(),
        reason,
    };
    let uri = format!("http://{address}/status");
    let req = Request::builder()
        .uri(uri)
        .body(Body::empty())
        .map_err(|e| failed(e.to_string()))?;
    let response = Client::new()
        .with_global_timeout(TIMEOUT)
        .request(req)
        .map_err(|e| failed(e.to_string()))?;
    if response.status() != StatusCode::OK {
        return Err(failed(response.status().to_string()));
    }
    let text = response
        .into_body()
        .to_string()
        .map_err(|e| failed(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| failed(e.to_string()))
}
