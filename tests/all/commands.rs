//! The command line interface.

use std::process::{Command, Output};

fn citronrill(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_citronrill")).args(args).output().unwrap()
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

/// The README's first command: it starts with a cold model and prints its answer.
#[test]
fn dev_answers_from_a_cold_model() {
    let output =
        citronrill(&["dev", "--config", &root("examples/dev.ini"), "--ask", "bulky-waste"]);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(stdout.trim(), "You asked: Does a sofa count as bulky waste?");
}

/// Every error in a configuration is printed with file, line, section and key, and the exit code is 2.
#[test]
fn check_prints_every_error() {
    let file = std::env::temp_dir().join(format!("citronrill-check-{}.ini", std::process::id()));
    std::fs::write(&file, "[pool]\nloads_second = many\nloads_once = 4\n[service x]\nkind = odd\n")
        .unwrap();
    let output = citronrill(&["check", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr.contains(":2: [pool] loads_second: expected a whole number, found `many`"),
        "{stderr}"
    );
    assert!(stderr.contains(":4: [service x] organisation: missing"), "{stderr}");
    assert!(stderr.contains(":5: [service x] kind: expected `model` or `plain`"), "{stderr}");
}

#[test]
fn invalid_arguments_exit_with_code_2() {
    assert_eq!(citronrill(&["nonsense"]).status.code(), Some(2));
    assert_eq!(citronrill(&["entry", "--settings", "/nowhere"]).status.code(), Some(2));
    assert_eq!(citronrill(&["--help"]).status.code(), Some(0));
}
