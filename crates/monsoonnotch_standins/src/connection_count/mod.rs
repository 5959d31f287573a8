//! Counts the open connections of a stand-in.

use std::time::Duration;

use tokio::sync::watch;

/// The number of open connections, which clones share.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(watch::Sender<usize>);

impl ConnectionCount {
    /// Returns the number of open connections.
    pub fn get(&self) -> usize {
        *self.0.borrow()
    }

    /// Waits until at most `max` connections are open; returns false if that takes longer than
    /// `within`.
    pub async fn falls_to(&self, max: usize, within: Duration) -> bool {
        let mut rx = self.0.subscribe();
        let fallen = rx.wait_for(|open| *open <= max);
        tokio::time::timeout(within, fallen).await.is_ok()
    }

    /// Counts a connection until the returned value is dropped.
    pub(crate) fn count(&self) -> OpenConnection {
        self.0.send_modify(|open| *open += 1);
        OpenConnection(self.0.clone())
    }
}

/// An open connection, which counts until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(watch::Sender<usize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.send_modify(|open| *open -= 1);
    }
}
