//! What the clients of a process may take, derived from the memory and the descriptors of its VM.

/// Bytes in a MiB.
pub const MIB: u64 = 1 << 20;
/// Size of an HTTP connection's receive buffer, in bytes. The kernel counts twice of it.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Memory of an HTTP connection, in bytes: its receive buffer, the buffer of a head, and the state of its
/// task.
const HTTP_CONNECTION_BYTES: u64 = 48 << 10;
/// Size of a link's receive buffer, in bytes: more than a link between regions carries in a round trip.
pub const LINK_RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Memory of a link between processes, in bytes, without the messages on it.
const LINK_BYTES: u64 = 16 << 10;
/// Connections of a listener that wait for a place, or whose first request is refused for want of one.
pub(crate) const WAITING_MAX: usize = 128;

/// Part of the memory that clients may take; the process needs the rest for its own work.
const MEMORY_DIVISOR: u64 = 2;
/// Memory that clients may not take in any case, in bytes: what waits unread in connections that have no
/// place yet.
const MEMORY_RESERVE: u64 = 10 * MIB;
/// Descriptors that clients may not take in any case: files, and what a process always has open.
const DESCRIPTORS_RESERVE: usize = 200;
/// Part of the other descriptors that clients may take; connections to upstreams need the rest.
const DESCRIPTORS_DIVISOR: usize = 2;
/// Part of the memory that connections leave to the bodies of requests.
const BODIES_DIVISOR: u64 = 4;
/// Part of the memory that links between processes may take, and again what comes over them.
const LINKS_MEMORY_DIVISOR: u64 = 8;
/// Part of the connections that links between processes may take.
const LINKS_DIVISOR: usize = 4;

/// What the clients of a listener may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Memory of connections, requests and records, in bytes.
    pub memory: u64,
    /// Number of connections.
    pub connections: usize,
    /// Memory of one connection, in bytes.
    pub connection_bytes: u64,
}

impl Limits {
    /// Returns what all clients may take of a VM with this memory, in bytes, and these descriptors.
    pub fn of_vm(memory: u64, descriptors: usize) -> Self {
        let descriptors = descriptors.saturating_sub(DESCRIPTORS_RESERVE);
        Self {
            memory: (memory / MEMORY_DIVISOR).saturating_sub(MEMORY_RESERVE),
            connections: descriptors / DESCRIPTORS_DIVISOR,
            connection_bytes: HTTP_CONNECTION_BYTES,
        }
    }

    /// Splits off the part of a listener for a few clients, whose bodies may take `bodies` bytes.
    #[must_use]
    pub fn split_off_few(&mut self, connections: usize, bodies: u64) -> Self {
        let memory = connections as u64 * HTTP_CONNECTION_BYTES + bodies;
        self.split_off(memory, connections, HTTP_CONNECTION_BYTES)
    }

    /// Splits off the part of links between processes.
    #[must_use]
    pub fn split_off_links(&mut self) -> Self {
        let memory = self.memory / LINKS_MEMORY_DIVISOR;
        self.split_off(memory, self.connections / LINKS_DIVISOR, LINK_BYTES)
    }

    /// Splits off memory for what other processes pass on for their clients.
    #[must_use]
    pub fn split_off_records(&mut self) -> Self {
        self.split_off(self.memory / LINKS_MEMORY_DIVISOR, 0, 0)
    }

    /// Returns the limits of the listener that has all the rest: fewer connections, if they would leave
    /// no memory to bodies.
    #[must_use]
    pub fn rest(self) -> Self {
        let of_connections = self.memory - self.memory / BODIES_DIVISOR;
        let in_memory = usize::try_from(of_connections / HTTP_CONNECTION_BYTES);
        Self {
            connections: in_memory.map_or(self.connections, |n| n.min(self.connections)),
            ..self
        }
    }

    fn split_off(&mut self, memory: u64, connections: usize, connection_bytes: u64) -> Self {
        let part = Self {
            memory: memory.min(self.memory / 2),
            connections: connections.min(self.connections / 2),
            connection_bytes,
        };
        self.memory -= part.memory;
        self.connections -= part.connections;
        part
    }
}
