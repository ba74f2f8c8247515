//! The operators' client against the operators' API: outcomes, exit codes and remedies.

#[path = "fakes/fake_operator.rs"]
mod fake_operator;

use {
    fake_operator::{FakeLog, ScriptedOutcome, serve_operator},
    oleandermount::{http_api::operator::wire::DaemonState, inventory::validate::digest},
    serde_json::Value as JsonValue,
    std::{
        fs,
        os::unix::fs::PermissionsExt,
        path::{Path, PathBuf},
        process::Command,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

struct ClientRun {
    code: i32,
    out: String,
    err: String,
}

impl ClientRun {
    fn json(&self) -> JsonValue {
        serde_json::from_str(&self.out).expect("JSON on standard output")
    }
}

/// Runs the client against the addresses `urls`.
async fn run(urls: &[&String], line: &str) -> ClientRun {
    let urls: Vec<&str> = urls.iter().map(|url| url.as_str()).collect();
    let mut client = Command::new(env!("CARGO_BIN_EXE_oleandermountctl"));
    client
        .args(line.split_whitespace())
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env("OLEANDERMOUNT_ADMIN_URLS", urls.join(","));
    let output = tokio::task::spawn_blocking(move || client.output())
        .await
        .expect("the task does not panic")
        .expect("the client starts");
    ClientRun {
        code: output.status.code().expect("the client is not killed by a signal"),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

#[tokio::test]
async fn register_and_rules_of_one_file_are_applied() {
    let log = FakeLog::new();
    let url = serve_operator(&log, ScriptedOutcome::Answered, DaemonState::Serving).await;
    let file = "samples/tuul.toml";
    let first = run(&[&url], &format!("inventory apply {file} --expect-revision 0 --json")).await;
    assert_eq!((first.code, &first.json()["revision"]), (0, &JsonValue::from(1)), "{}", first.err);
    let second = run(&[&url], &format!("rules apply {file} --expect-revision 1")).await;
    assert_eq!(second.code, 0, "{}", second.err);
    assert_eq!((log.config().register.servers.len(), log.config().rules.calls.len()), (13, 6));
    let status = run(&[&url, &"http://127.0.0.1:1".to_owned()], "status").await;
    assert!(status.code == 0 && status.out.contains("does not answer"), "{}", status.out);
}

/// Two operators apply changes based on the same revision. The first commit succeeds; the second
/// command exits with 1, reports the digest of the first change and has no effect.
#[tokio::test]
async fn conflict_reports_winning_digest() {
    let log = FakeLog::new();
    let url = serve_operator(&log, ScriptedOutcome::Answered, DaemonState::Serving).await;
    run(&[&url], "inventory apply samples/tuul.toml --expect-revision 0").await;
    let loser = run(&[&url], "inventory apply samples/abay.toml --expect-revision 0 --json").await;
    assert_eq!(loser.code, 1);
    assert_eq!(loser.json()["error"]["did_happen"], "no");
    assert_eq!(loser.json()["error"]["winner"], JsonValue::from(digest("the winner")));
    assert_eq!(log.config().revision, 1);
}

/// The response to a change is lost after the commit. With a single address, the command exits with 3
/// and prints the operation id. A resend with this id returns the original result even after other
/// operators have activated a register with which the change is no longer valid. With a second
/// address, the client resends the change there.
#[tokio::test]
async fn resend_returns_original_result() {
    let log = FakeLog::new();
    let lossy = serve_operator(&log, ScriptedOutcome::ResponseLost, DaemonState::Serving).await;
    let good = serve_operator(&log, ScriptedOutcome::Answered, DaemonState::Serving).await;
    let register = "inventory apply samples/tuul.toml --expect-revision 0 --json";
    let both = run(&[&lossy, &good], register).await;
    assert_eq!((both.code, &both.json()["revision"]), (0, &JsonValue::from(1)));
    assert_eq!(log.config().revision, 1);

    let rules = "rules apply samples/tuul.toml --expect-revision 1";
    let lost = run(&[&lossy], rules).await;
    assert_eq!((lost.code, log.config().revision), (3, 2));
    let operation =
        lost.err.lines().next().expect("a line with the id").rsplit(' ').next().expect("the id");
    assert!(lost.err.contains(&format!("--operation-id {operation}")), "{}", lost.err);

    let folder = tempfile::tempdir().expect("a folder");
    let few = folder.path().join("few.toml");
    fs::write(&few, "weight_loads = 2\n").expect("the file can be written");
    run(&[&good], &format!("rules apply {} --expect-revision 2", few.display())).await;
    run(&[&good], "inventory apply samples/abay.toml --expect-revision 3").await;
    assert_eq!(log.config().revision, 4);
    let again = run(&[&good], &format!("{rules} --operation-id {operation} --json")).await;
    assert_eq!((again.code, &again.json()["revision"]), (0, &JsonValue::from(2)), "{}", again.err);
}

/// Without a quorum, the command exits with 1 and reports that it had no effect. If an earlier attempt
/// at another address may have been committed, the outcome is unknown and the exit code is 3.
#[tokio::test]
async fn no_quorum_after_lost_response_is_unknown() {
    let log = FakeLog::new();
    let lossy = serve_operator(&log, ScriptedOutcome::ResponseLost, DaemonState::Serving).await;
    let alone = serve_operator(&log, ScriptedOutcome::NoQuorum, DaemonState::Serving).await;
    let apply = "inventory apply samples/tuul.toml --expect-revision 0 --json";
    let refused = run(&[&alone], apply).await;
    assert_eq!((refused.code, log.config().revision), (1, 0));
    assert_eq!(refused.json()["error"]["code"], "no_quorum");
    assert_eq!(run(&[&lossy, &alone], apply).await.code, 3);
}

#[tokio::test]
async fn inconsistent_rules_are_refused_with_lines() {
    let log = FakeLog::new();
    let url = serve_operator(&log, ScriptedOutcome::Answered, DaemonState::Serving).await;
    run(&[&url], "inventory apply samples/tuul.toml --expect-revision 0").await;
    let faulty = run(&[&url], "rules apply samples/abay.toml --expect-revision 1").await;
    assert!(faulty.code == 1 && faulty.err.contains("line "), "{}", faulty.err);
    run(&[&url], "rules apply samples/tuul.toml --expect-revision 1").await;
    let register = run(&[&url], "inventory apply samples/abay.toml --expect-revision 2").await;
    assert!(
        register.code == 1 && register.err.contains("change the rules first"),
        "{}",
        register.err
    );
    assert_eq!(log.config().revision, 2);
}

#[tokio::test]
async fn failures_have_exit_codes() {
    let log = FakeLog::new();
    let url = serve_operator(&log, ScriptedOutcome::Answered, DaemonState::Draining).await;
    let closed = "http://127.0.0.1:1".to_owned();
    let cases = [
        (&url, 0, "check samples/abay.toml", "no faults"),
        (&url, 1, "check samples/faulty.toml", "34 faults"),
        (&url, 1, "drain nobody", "unknown_vm"),
        (&url, 1, "explain r-1", "remembers request"),
        (&url, 2, "inventory apply samples/tuul.toml", "--expect-revision"),
        (&url, 2, "check no/such/file", "correct the path"),
        (&url, 2, "explain r/1", "request id"),
        (&url, 2, "no-such-command", "no-such-command"),
        (&url, 3, "config wait --revision 0 --timeout 1ms", "unresponsive"),
        (&closed, 3, "servers", "--admin"),
        (&closed, 3, "inventory apply samples/tuul.toml --expect-revision 0", "cannot connect"),
    ];
    for (url, code, line, text) in cases {
        let run = run(&[url], line).await;
        assert_eq!(run.code, code, "{line}: {}", run.err);
        assert!(format!("{}{}", run.out, run.err).contains(text), "{line}: {}", run.err);
    }
}

async fn exchange_raw(url: &str, request: String) -> String {
    let address = url.strip_prefix("http://").expect("a URL of the fake");
    let mut stream = TcpStream::connect(address).await.expect("the fake listens");
    stream.write_all(request.as_bytes()).await.expect("the fake reads the request");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("the fake responds and closes");
    response
}

#[tokio::test]
async fn readiness_and_invalid_requests() {
    let log = FakeLog::new();
    let url = serve_operator(&log, ScriptedOutcome::Answered, DaemonState::Draining).await;
    let get_request =
        |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert!(exchange_raw(&url, get_request("/readyz")).await.starts_with("HTTP/1.1 503"));
    assert!(exchange_raw(&url, get_request("/healthz")).await.starts_with("HTTP/1.1 200"));
    assert!(
        exchange_raw(&url, get_request("/v1/organisations?limit=x"))
            .await
            .starts_with("HTTP/1.1 400")
    );
    let rows = exchange_raw(&url, get_request("/v1/organisations?limit=9999")).await;
    assert_eq!(rows.matches("\"id\"").count(), 1000);
    assert!(
        exchange_raw(&url, get_request("/metrics"))
            .await
            .contains("oleandermount_config_revision 0")
    );
    let put_request = |path: &str, body: &str| {
        let length = body.len();
        format!(
            "PUT {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    assert!(exchange_raw(&url, put_request("/v1/register", "{")).await.starts_with("HTTP/1.1 400"));
    let large = put_request("/v1/drain", &" ".repeat(20_000)).replacen("PUT", "POST", 1);
    assert!(exchange_raw(&url, large).await.starts_with("HTTP/1.1 413"));
    assert_eq!(log.config().revision, 0);
}

#[tokio::test]
async fn keys_are_created_and_authority_reused() {
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().display().to_string();
    let file = |name: &str| -> PathBuf { Path::new(&out).join(name) };
    let none = String::new();
    let first = run(&[&none], &format!("keys create --out {out} --vm a-1 --vm b-1")).await;
    assert_eq!(first.code, 0, "{}", first.err);
    let authority = fs::read(file("authority.pem")).expect("written");
    let mode = fs::metadata(file("a-1.key")).expect("written").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let certificate = fs::read(file("a-1.pem")).expect("written");
    let renewed = run(&[&none], &format!("keys create --out {out} --vm a-1")).await;
    assert_eq!(renewed.code, 0, "{}", renewed.err);
    assert_eq!(fs::read(file("authority.pem")).expect("reused"), authority);
    assert_ne!(fs::read(file("a-1.pem")).expect("renewed"), certificate);
    fs::remove_file(file("authority.key")).expect("the key exists");
    let incomplete = run(&[&none], &format!("keys create --out {out} --vm c-1")).await;
    assert!(
        incomplete.code == 2 && incomplete.err.contains("restore the other"),
        "{}",
        incomplete.err
    );
    let key = run(&[&none], "keys organisation --json").await.json();
    let text = key["key"].as_str().expect("a key");
    assert_eq!(key["digest"], JsonValue::from(digest(text)));
}
