//! Invalid options prevent the start; all of them are reported, each with value and remedy.

use {
    oleandermount::{
        observe::{logs, metrics},
        options::{DaemonOptions, DaemonRole, OptionFault, OptionsError},
        policy::{RefusalReason, RetryReason},
    },
    std::{ffi::OsString, process::Command, time::Duration},
};

fn parse(line: &str) -> Result<DaemonOptions, OptionsError> {
    let arguments: Vec<OsString> = line.split_whitespace().map(OsString::from).collect();
    DaemonOptions::parse(&arguments)
}

fn faults(line: &str) -> Vec<OptionFault> {
    match parse(line) {
        Err(OptionsError::Invalid(faults)) => faults,
        other => panic!("expected faults for {line}, got {other:?}"),
    }
}

#[test]
fn minimal_options_are_accepted() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    let path = file.path().display();
    let keys = format!("--authority {path} --certificate {path} --key {path}");
    let options = parse(&format!("--vm a-1 --failure-domain a {keys}"))
        .expect("all required options are given");
    assert_eq!(options.identity.role, DaemonRole::Entry);
    assert_eq!(options.network.listen.to_string(), "127.0.0.1:8080");
    assert!(options.keys.is_some() && options.group.data_dir.is_none());
    assert!(options.runtime.grace >= Duration::from_secs(60));
}

/// Environment variables, as set in a systemd unit, are validated like flags: the exit code is 2, and
/// the message contains the flag, the value and the remedy.
#[test]
fn environment_variables_are_validated() {
    let output = Command::new(env!("CARGO_BIN_EXE_oleandermountd"))
        .env("OLEANDERMOUNT_VM", "a-1")
        .env("OLEANDERMOUNT_FAILURE_DOMAIN", "a")
        .env("OLEANDERMOUNT_GRACE", "soon")
        .output()
        .expect("the daemon starts and exits");
    let errors = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains("--grace has the value \"soon\": give a duration"), "{errors}");
    assert!(errors.contains("--key is missing") && !errors.contains("--vm is missing"), "{errors}");
}

#[test]
fn errors_contain_option_and_value() {
    let cases = [
        ("--vm", "--vm sp@ce", "sp@ce"),
        ("--role", "--role boss", "boss"),
        ("--listen", "--listen localhost:80", "localhost:80"),
        ("--admin-listen", "--admin-listen 127.0.0.1:8080", "127.0.0.1:8080"),
        ("--peers", "--peers b-1:9", "b-1:9"),
        ("--peers", "--peers b-1=127.0.0.1:1,b-1=127.0.0.1:2", "b-1"),
        ("--founders", "--founders z-9", "z-9"),
        ("--grace", "--grace soon", "soon"),
        ("--log-level", "--log-level loud", "loud"),
        ("--without", "--without windows", "windows"),
        ("--max-body-bytes", "--max-body-bytes=-1", "-1"),
        ("--max-headers", "--max-headers 0", "0"),
        ("--head-timeout", "--head-timeout 0s", "0s"),
        ("--authority", "--authority no/such/file", "no/such/file"),
    ];
    for (option, line, value) in cases {
        let name = if option == "--vm" { "" } else { "--vm a-1" };
        let faults = faults(&format!("{name} --failure-domain a {line}"));
        let fault = faults
            .iter()
            .find(|fault| fault.option() == option)
            .unwrap_or_else(|| panic!("{line} is not reported in {faults:?}"));
        let message = fault.to_string();
        assert!(message.contains(&format!("\"{value}\": ")), "no value or remedy in {message}");
    }
}

#[test]
fn all_faults_are_reported_in_one_run() {
    let faults = faults("--role control --listen x --grace y --peers b-1=127.0.0.1:9");
    let reported: Vec<&str> = faults.iter().map(OptionFault::option).collect();
    for option in [
        "--vm",
        "--failure-domain",
        "--listen",
        "--data-dir",
        "--authority",
        "--certificate",
        "--key",
        "--grace",
    ] {
        assert!(reported.contains(&option), "{option} is not among {reported:?}");
    }
}

#[test]
fn counters_start_at_zero() {
    let text = metrics::install().expect("the only recorder").render();
    let reasons = RefusalReason::ALL.map(RefusalReason::as_str);
    for reason in reasons.into_iter().chain(metrics::refusal::ALL) {
        assert!(
            text.contains(&format!("{}{{reason=\"{reason}\"}} 0", metrics::REFUSALS)),
            "{text}"
        );
    }
    for reason in RetryReason::ALL.map(RetryReason::as_str) {
        assert!(text.contains(&format!("{}{{reason=\"{reason}\"}} 0", metrics::RETRIES)), "{text}");
    }
}

#[test]
fn log_record_is_one_json_line() {
    let values = [("request_id", "r-1"), ("note", "two\nlines")];
    let record = log::Record::builder()
        .args(format_args!("a \"quoted\"\nmessage"))
        .level(log::Level::Warn)
        .target("http_api")
        .key_values(&values)
        .build();
    let line = logs::json_line(&record, std::time::UNIX_EPOCH);
    assert!(!line.contains('\n'));
    let object: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(object["time"], "1970-01-01T00:00:00.000Z");
    assert_eq!(object["level"], "WARN");
    assert_eq!(object["message"], "a \"quoted\"\nmessage");
    assert_eq!(object["request_id"], "r-1");
}
