//! `cargo bench`: prints one line a figure, `figure <name> <value> <unit>`.

fn main() {
    // cargo test builds benches and runs them with --test; there is nothing to test here.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    // A name runs one part only: dispatching, placing, replay, requests, log, leases.
    let part = std::env::args().nth(1).filter(|a| !a.starts_with("--"));
    bench::run(part.as_deref());
}
