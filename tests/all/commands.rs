//! The command line, run as operators run it.

use std::process::{Command, Output};

fn citronrill(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_citronrill")).args(words).output().unwrap()
}

fn root(file: &str) -> String {
    format!("{}/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_examples_are_accepted() {
    for file in ["examples/dev.ini", "examples/sperrgut.ini", "examples/remolacheros.ini"] {
        let output = citronrill(&["check", &root(file)]);
        assert!(output.status.success(), "{file}: {output:?}");
    }
}

/// The README's first command: a cold model answers.
#[test]
fn dev_answers_from_a_cold_model() {
    let output =
        citronrill(&["dev", "--config", &root("examples/dev.ini"), "--ask", "bulky-waste"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(text.trim(), "You asked: Does a sofa count as bulky waste?");
}

/// Every error of a text is printed with file, line, section and key, and the exit code says that
/// the text is wrong.
#[test]
fn check_prints_every_error() {
    let file = std::env::temp_dir().join(format!("citronrill-check-{}.ini", std::process::id()));
    std::fs::write(&file, "[pool]\nloads_second = many\nloads_once = 4\n[service x]\nkind = odd\n")
        .unwrap();
    let output = citronrill(&["check", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text.contains(":2: [pool] loads_second: expected a whole number, found `many`"),
        "{text}"
    );
    assert!(text.contains(":4: [service x] organisation: missing"), "{text}");
    assert!(text.contains(":5: [service x] kind: expected `model` or `plain`"), "{text}");
}

#[test]
fn wrong_words_exit_with_two() {
    assert_eq!(citronrill(&["nonsense"]).status.code(), Some(2));
    assert_eq!(citronrill(&["entry", "--settings", "/nowhere"]).status.code(), Some(2));
    assert_eq!(citronrill(&["--help"]).status.code(), Some(0));
}
