//! Compiles the protocols of controllers and of cells with `protox`, so that no `protoc` is needed.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let set = protox::compile(["proto/peer.proto", "proto/cells.proto"], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).compile_fds(set)?;
    Ok(())
}
