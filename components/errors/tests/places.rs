//! Tests that positions lead to the fault and that all findings are reported together.

use errors::{Finding, Findings, Place};
use rstest::rstest;

const TEXT: &str = "a = 1\nbé = 2\n\nc";

#[rstest]
#[case::the_first_byte(0, 1, 1)]
#[case::the_end_of_a_line(5, 1, 6)]
#[case::the_start_of_a_line(6, 2, 1)]
#[case::after_a_multibyte_character(9, 2, 3)]
#[case::an_empty_line(14, 3, 1)]
#[case::the_last_line(15, 4, 1)]
#[case::beyond_the_end(99, 4, 2)]
fn an_offset_becomes_line_and_column(
    #[case] offset: usize,
    #[case] line: usize,
    #[case] column: usize,
) {
    let place = Place::in_text("f", TEXT, offset);
    assert_eq!(place, Place::File { path: "f".into(), line, column });
}

#[rstest]
#[case::a_flag(Place::Flag("name".into()), "--name")]
#[case::a_variable(Place::Variable("HEATHVALE_NAME".into()), "$HEATHVALE_NAME")]
#[case::a_file(Place::File { path: "j.toml".into(), line: 3, column: 7 }, "j.toml:3:7")]
#[case::a_field(Place::Field("job.name".into()), "field job.name")]
fn a_place_is_written_as_users_know_it(#[case] place: Place, #[case] expected: &str) {
    assert_eq!(place.to_string(), expected);
}

#[test]
fn findings_are_an_error_only_if_there_are_any() {
    let mut findings = Findings::default();
    assert_eq!(findings.clone().into_result(7), Ok(7));
    findings.push(Finding::new(Place::Flag("a".into()), "is wrong").with_help("write b"));
    findings.push(Finding::new(Place::Flag("c".into()), "is wrong, too"));
    let findings = findings.into_result(7).unwrap_err();
    assert_eq!(findings.to_string(), "2 faults found; nothing was started or changed");
    assert_eq!(findings.list[0].to_string(), "--a: is wrong");
}
