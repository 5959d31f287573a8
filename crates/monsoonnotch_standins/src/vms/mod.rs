//! A stand-in for the service that lists the VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use http::StatusCode;
use monsoonnotch_core::event::VmInfo;

use crate::serve;
use crate::serve::Server;

/// The state that the handlers share.
#[derive(Debug, Default)]
struct State {
    list: Vec<VmInfo>,
    /// Whether connections are closed without a response.
    unavailable: bool,
}

/// A running service that lists VMs.
#[derive(Debug)]
pub struct VmDirectory {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl VmDirectory {
    /// Starts the service on any free port of the loopback address, with an empty list.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = serve::serve(serve::any_port(), move |_| {
            let state = lock(&shared);
            let text = serde_json::to_vec(&state.list).expect("a list can be serialized as JSON");
            let response = (!state.unavailable).then(|| serve::response(StatusCode::OK, text));
            async move { response }
        });
        let server = server.await?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Adds a VM, or replaces the VM with the same name.
    pub fn put(&self, info: VmInfo) {
        let mut state = lock(&self.state);
        state.list.retain(|v| v.name != info.name);
        state.list.push(info);
    }

    /// Marks the VM with this name as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut state = lock(&self.state);
        let vms = state.list.iter_mut().filter(|v| v.name == name);
        vms.for_each(|v| v.leaving = true);
    }

    /// Removes the VM with this name from the list.
    pub fn remove(&self, name: &str) {
        lock(&self.state).list.retain(|v| v.name != name);
    }

    /// Sets whether the service closes connections instead of sending responses.
    pub fn set_unavailable(&self, unavailable: bool) {
        lock(&self.state).unavailable = unavailable;
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}
