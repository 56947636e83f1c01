//! The daemon `laburnumlugd`.

fn main() {
    std::process::exit(laburnumlug_daemon::run(argh::from_env()));
}
