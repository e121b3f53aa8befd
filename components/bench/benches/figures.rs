//! The entry point of `cargo bench`. It prints one line per figure, `figure <name> <value> <unit>`.

fn main() {
    // `cargo test --benches` runs this program with `--test`; there is nothing to test.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    // An argument selects a single part: dispatching, placing, replay, requests, log or leases.
    let part = std::env::args().nth(1).filter(|a| !a.starts_with("--"));
    bench::run(part.as_deref());
}
