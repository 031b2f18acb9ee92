//! Tests of the fitted line and its residual.

use super::Line;

#[test]
fn points_on_a_line_leave_no_residual() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.slope - 2.0).abs() < 1e-9);
    assert!((line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9);
}

#[test]
fn points_off_the_line_show_in_the_residual() {
    let line = Line::through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]);
    assert!(line.slope.abs() < 1e-9);
    assert!((line.residual - 2.0_f64.sqrt()).abs() < 1e-9);
}
