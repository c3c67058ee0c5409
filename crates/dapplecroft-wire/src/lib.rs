//! JSON and gRPC message formats of dapplecroft. Field names on the wire follow the protocols; the Rust names
//! use the usual terms of cluster scheduling.
//!
//! The crate does no I/O, so clients of the service can use it on its own.

pub mod cloud;
pub mod settings;
pub mod state;
pub mod users;
pub mod workers;

/// The gRPC protocol between the controllers of a cell.
pub mod peer {
    // Generated code cannot be documented or split up.
    #![allow(missing_docs, clippy::unwrap_used, clippy::too_many_lines)]
    tonic::include_proto!("dapplecroft.peer.v1");
}

/// The gRPC protocol between cells.
pub mod cells {
    // Generated code cannot be documented or split up.
    #![allow(missing_docs, clippy::unwrap_used, clippy::too_many_lines)]
    tonic::include_proto!("dapplecroft.cells.v1");
}

/// Maximum size of a request body on every HTTP interface.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
