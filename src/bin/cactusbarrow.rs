//! Binary of the operators' client; see `cactusbarrow --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cactusbarrow_client::main()
}
