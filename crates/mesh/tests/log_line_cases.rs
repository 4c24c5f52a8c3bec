//! Tests of the form of log lines: what is logged, texts of other processes included, makes
//! one line of bounded length.

use filbert_mesh::logging::{as_one_line, MAX_LINE_BYTES};
use rstest::rstest;

/// Guards against a text of another process that makes a second line of the log.
#[rstest]
#[case::plain("event=a host=b", "event=a host=b")]
#[case::letters("host=r\u{e9}seau", "host=r\u{e9}seau")]
#[case::line_break("host=a\nlevel=error", "host=a\\nlevel=error")]
#[case::carriage_return("host=a\r\nb", "host=a\\r\\nb")]
#[case::zero("host=a\0b", "host=a\\0b")]
#[case::terminal("host=\u{1b}[2J", "host=\\u{1b}[2J")]
#[case::other_controls("a\u{7f}\u{85}", "a\\u{7f}\\u{85}")]
#[case::separators("a\u{2028}b\u{2029}", "a\\u{2028}b\\u{2029}")]
fn a_record_is_one_line(#[case] text: &str, #[case] line: &str) {
    assert_eq!(as_one_line(text), line);
}

/// Guards against a text of another process that makes a line of any length.
#[rstest]
#[case::full(&"x".repeat(MAX_LINE_BYTES), "x", MAX_LINE_BYTES, "")]
#[case::one_more(&"x".repeat(MAX_LINE_BYTES + 1), "x", MAX_LINE_BYTES, " cut_bytes=1")]
#[case::many(&"x".repeat(MAX_LINE_BYTES + 90_000), "x", MAX_LINE_BYTES, " cut_bytes=90000")]
#[case::wide(&"\u{20ac}".repeat(2_000), "\u{20ac}", 1_365, " cut_bytes=1905")]
#[case::escaped(&"\n".repeat(5_000), "\\n", MAX_LINE_BYTES / 2, " cut_bytes=2952")]
fn a_line_is_bounded(
    #[case] text: &str,
    #[case] part: &str,
    #[case] parts: usize,
    #[case] note: &str,
) {
    assert_eq!(as_one_line(text), part.repeat(parts) + note);
}
