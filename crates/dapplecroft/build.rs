//! Compiles `proto/options.proto`, the schema of the operators' settings, into the descriptor set that the
//! program embeds.
use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/options.proto");
    let set = protox::compile(["proto/options.proto"], ["proto"])?;
    let out = std::path::Path::new(&std::env::var("OUT_DIR")?).join("options.bin");
    std::fs::write(out, set.encode_to_vec())?;
    Ok(())
}
