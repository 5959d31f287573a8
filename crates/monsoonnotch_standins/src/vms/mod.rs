//! The list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use http::StatusCode;
use monsoonnotch_core::event::VmInfo;

use crate::serve;
use crate::serve::Server;

/// What the service shows.
#[derive(Debug, Default)]
struct State {
    list: Vec<VmInfo>,
    unavailable: bool,
}

/// A running list service.
#[derive(Debug)]
pub struct VmDirectory {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl VmDirectory {
    /// Starts the service on any free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = serve::serve(serve::any_port(), move |_| {
            let state = lock(&shared);
            let text = serde_json::to_vec(&state.list).expect("a list has a JSON form");
            let answer = (!state.unavailable).then(|| serve::response(StatusCode::OK, text));
            async move { answer }
        });
        let server = server.await?;
        Ok(Self { server, state })
    }

    /// Where it answers.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Adds a VM, or replaces the one of the same name.
    pub fn put(&self, info: VmInfo) {
        let mut state = lock(&self.state);
        state.list.retain(|v| v.name != info.name);
        state.list.push(info);
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut state = lock(&self.state);
        let vms = state.list.iter_mut().filter(|v| v.name == name);
        vms.for_each(|v| v.leaving = true);
    }

    /// Takes a VM off the list.
    pub fn remove(&self, name: &str) {
        lock(&self.state).list.retain(|v| v.name != name);
    }

    /// Makes the service answer, or not.
    pub fn set_unavailable(&self, unavailable: bool) {
        lock(&self.state).unavailable = unavailable;
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}
