//! Compiles the definitions without `protoc`.

use prost::Message;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let set = protox::compile(["envoy/service/ratelimit/v3/rls.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    // For server reflection.
    std::fs::write(out.join("ratelimit.bin"), set.encode_to_vec())?;
    tonic_prost_build::configure().build_transport(false).compile_fds(set)?;
    println!("cargo:rerun-if-changed=proto");
    Ok(())
}
