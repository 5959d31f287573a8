//! A client of the platform's list of VMs.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use monsoonnotch_core::event::VmInfo;

use crate::http_client::Error;
use crate::http_client::HttpClient;

/// A client of the service that lists the VMs.
#[derive(Debug, Clone)]
pub struct Client {
    addr: String,
    http: HttpClient,
}

impl Client {
    /// Creates a client of the service at `addr`, given as `ip:port`. Each request takes at most
    /// `timeout`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self {
            addr: addr.to_owned(),
            http: HttpClient::new(timeout),
        }
    }

    /// Returns the VMs that the platform currently lists.
    ///
    /// # Errors
    ///
    /// Returns an error when no list was received.
    pub async fn list(&self) -> Result<Vec<VmInfo>, Error> {
        let response = self
            .http
            .exchange(Method::GET, &self.addr, "/vms", Bytes::new());
        serde_json::from_slice(&response.await?).map_err(|_| Error::Malformed("a list of VMs"))
    }
}
