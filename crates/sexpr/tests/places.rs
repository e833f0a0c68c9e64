//! Errors in a file contain its name, the line and the form.

use slatevalve_sexpr::{File, FormError};

/// Reads `(pool (idle-ms NUMBER) (most WHOLE))`, the second one optional, and nothing else.
fn read(text: &str) -> Result<(i64, u64), FormError> {
    let file = File::parse("site.scm", text)?;
    let mut top = file.forms()?;
    let mut pool = top.need("pool")?.fields()?;
    let idle = pool.need("idle-ms")?.millis()?;
    let most = pool.or("most", 8, |f| f.whole(64))?;
    pool.finish()?;
    top.finish()?;
    Ok((idle.0, most))
}

#[test]
fn a_valid_file_is_read_and_the_first_error_of_an_invalid_one_has_its_location() {
    assert_eq!(read("(pool (idle-ms 2.5))"), Ok((2_500, 8)));
    assert_eq!(read("(pool (idle-ms 1)\n (most 64))"), Ok((1_000, 64)));
    let cases = [
        ("(pool (idle-ms 1)\n (most 65))", "site.scm:2: (most ...): expected a whole number from 0 to 64"),
        ("(pool\n (most 3))", "site.scm:1: (pool ...): (idle-ms ...) is missing"),
        (
            "(pool (idle-ms 1) (idle-ms 2))",
            "site.scm:1: (idle-ms ...): appears more than once; first in line 1",
        ),
        ("(pool (idle-ms -1))", "site.scm:1: (idle-ms ...): expected exactly one number from 0 to 10^15"),
        ("(pool (idle-ms 1)\n\n (speed 3))", "site.scm:3: (pool ...): unknown form (speed ...)"),
        ("(pool (idle-ms 1))\n7", "site.scm:2: expected a form, found 7"),
    ];
    for (text, message) in cases {
        assert_eq!(read(text).map_err(|e| e.to_string()), Err(message.to_string()), "{text}");
    }
    let incomplete = read("(pool (idle-ms 1)").expect_err("the file ends within a form");
    assert!(incomplete.line > 0 && incomplete.form.is_empty(), "{incomplete}");
}
