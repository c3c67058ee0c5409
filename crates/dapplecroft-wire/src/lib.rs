//! The JSON and gRPC formats that dapplecroft speaks. Field names on the wire
//! follow the protocol; the names in Rust use the field's ordinary terms.
//!
//! Clients of the service can use this crate by itself: it does no I/O.

pub mod cloud;
pub mod settings;
pub mod state;
pub mod users;
pub mod workers;

/// The gRPC protocol between the controllers.
pub mod peer {
    // Generated code is not ours to divide.
    #![allow(missing_docs, clippy::unwrap_used, clippy::too_many_lines)]
    tonic::include_proto!("dapplecroft.peer.v1");
}

/// The gRPC protocol between cells.
pub mod cells {
    // Generated code is not ours to divide.
    #![allow(missing_docs, clippy::unwrap_used, clippy::too_many_lines)]
    tonic::include_proto!("dapplecroft.cells.v1");
}

/// The largest request body that any interface accepts.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
