//! Tests of how many times one size fits into another.

use model::Size;

#[test]
fn the_scarcest_dimension_limits_the_number_of_copies() {
    let capacity = Size::new(8_000, 3_500, 2);
    for (size, copies) in [
        (Size::new(1_000, 100, 0), 8),
        (Size::new(2_000, 1_000, 0), 3),
        (Size::new(1_000, 1_000, 1), 2),
        (Size::new(9_000, 1_000, 0), 0),
    ] {
        assert_eq!(size.copies_in(&capacity), copies, "{size}");
        assert!(size.times(copies).fits(&capacity), "{size}: that many copies fit");
        assert!(!size.times(copies + 1).fits(&capacity), "{size}: one more copy does not fit");
    }
    assert_eq!(Size::ZERO.copies_in(&capacity), u64::MAX, "a zero size fits any number of times");
}
