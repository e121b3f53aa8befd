//! The division of a process's file descriptors among their uses.

use node::{Descriptors, parse_open_file_limit};
use rstest::rstest;

const TABLE: &str = "Limit                     Soft Limit           Hard Limit           Units     \n\
    Max cpu time              unlimited            unlimited            seconds   \n\
    Max open files            4324                 1048576              files     \n";

#[rstest]
#[case::the_soft_limit_is_in_force(TABLE, Some(4_324))]
#[case::no_limit("Max open files            unlimited            unlimited            files", None)]
#[case::no_table("", None)]
fn the_limit_is_read_from_the_kernels_table(#[case] text: &str, #[case] limit: Option<usize>) {
    assert_eq!(parse_open_file_limit(text), limit);
}

#[rstest]
#[case::least(64)]
#[case::usual(1_024)]
#[case::large(4_324)]
fn the_shares_leave_some_for_the_log(#[case] limit: usize) {
    let d = Descriptors::divide(limit);
    assert!(d.calls + d.listeners + d.peers + limit / 16 <= limit, "{d:?}");
    assert!(2 * d.side_listeners <= limit / 32, "{d:?}");
    assert!(d.calls > 0 && d.listeners > 0 && d.side_listeners > 0 && d.peers > 0, "{d:?}");
}
