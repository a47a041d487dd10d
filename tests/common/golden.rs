//! Forms that are on a wire or on disk, kept as data: one line for each, `name bytes-in-hex`.

use std::path::Path;

/// Compares forms with those in a file; with `UPDATE_DIGESTS=1` the file is written instead.
pub(crate) fn compare(file: &Path, forms: &[(&str, Vec<u8>)]) {
    let line = |(name, bytes): &(&str, Vec<u8>)| format!("{name} {}\n", hex(bytes));
    if std::env::var_os("UPDATE_DIGESTS").is_some_and(|value| value == "1") {
        std::fs::create_dir_all(file.parent().expect("a file has a directory")).expect("it can be made");
        let text: String = forms.iter().map(line).collect();
        return std::fs::write(file, text).expect("the forms can be written");
    }
    let expected = std::fs::read_to_string(file).expect("the forms can be read");
    let mut lines = expected.lines();
    for form in forms {
        assert_eq!(lines.next(), Some(line(form).trim_end()), "{} of {}", form.0, file.display());
    }
    assert_eq!(lines.next(), None, "a form of {} is not written any more", file.display());
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
