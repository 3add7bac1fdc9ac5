//! Binary of the daemon; see `cactusbarrowd --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cactusbarrow_daemon::main()
}
