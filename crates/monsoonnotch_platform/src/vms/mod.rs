//! The platform's list of VMs.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use monsoonnotch_core::event::VmInfo;

use crate::http_client::Error;
use crate::http_client::HttpClient;

/// A client of the list.
#[derive(Debug, Clone)]
pub struct Client {
    addr: String,
    http: HttpClient,
}

impl Client {
    /// A client of the service at `addr`, as `ip:port`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self {
            addr: addr.to_owned(),
            http: HttpClient::new(timeout),
        }
    }

    /// The list as the platform knows it now.
    ///
    /// # Errors
    ///
    /// When no list came.
    pub async fn list(&self) -> Result<Vec<VmInfo>, Error> {
        let answer = self
            .http
            .exchange(Method::GET, &self.addr, "/vms", Bytes::new());
        serde_json::from_slice(&answer.await?).map_err(|_| Error::Malformed("a list of VMs"))
    }
}
