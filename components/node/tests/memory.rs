//! The division of a machine's memory among its uses.

use node::{Memory, parse_total_memory};
use rstest::rstest;

const TABLE: &str = "MemTotal:        249856 kB\nMemFree:          10000 kB\n";

#[rstest]
#[case::all_of_it(TABLE, Some(249_856 * 1_024))]
#[case::no_number("MemTotal: much", None)]
#[case::no_table("", None)]
fn the_memory_is_read_from_the_kernels_table(#[case] text: &str, #[case] memory: Option<usize>) {
    assert_eq!(parse_total_memory(text), memory);
}

#[rstest]
#[case::a_quarter_of_the_smallest(64_000_000)]
#[case::smallest_entry_instance(120_000_000)]
#[case::usual(256_000_000)]
#[case::large(640_000_000)]
fn the_shares_leave_some_for_the_process(#[case] memory: usize) {
    let m = Memory::divide(memory);
    assert!(m.connections + m.bodies + 2 * m.jobs + memory / 4 <= memory, "{m:?}");
}

/// A configuration of eight megabytes takes four times as much while it is published.
#[test]
fn the_smallest_control_instance_has_memory_for_the_largest_configuration() {
    assert!(Memory::divide(256_000_000).bodies >= 4 * (8 << 20));
}
