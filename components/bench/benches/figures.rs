//! `cargo bench`: prints one line a figure, `figure <name> <value> <unit>`.

fn main() {
    // cargo test builds benches and runs them with --test; there is nothing to test here.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    bench::run_all();
}
