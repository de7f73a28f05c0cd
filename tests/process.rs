//! `tealturnd` as a process: exit codes, health and planned stops.

use std::{
    env, fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use serde::Deserialize;
use tealturn::{
    Error,
    http::client::Client,
    report::{
        health::{Readiness, State},
        status::Status,
    },
};
use tokio::time;

/// Far longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("writable");
    path
}

/// The platform's addresses answer nothing.
fn settings(lifetime: u64) -> String {
    format!(
        "deployment: nortebraco\ndaemon: daemon-1\nzone: sala-a\n\
         listen: {{caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}}\n\
         platform: {{table: 127.0.0.1:9, vms: 127.0.0.1:9}}\naddress_lifetime_s: {lifetime}\n"
    )
}

fn daemon(path: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tealturnd"));
    command.arg("--settings").arg(path);
    command
}

fn finish(mut command: Command) -> Output {
    command.output().expect("it runs")
}

#[test]
fn invalid_settings_exit_with_2_and_start_nothing() {
    let path = file("invalid.yaml", "deployment: 7\n");
    for check in [false, true] {
        let mut command = daemon(&path);
        if check {
            command.arg("--check");
        }
        let output = finish(command);
        assert_eq!(output.status.code(), Some(2));
        assert!(output.stdout.is_empty(), "it must not listen");
        let told = String::from_utf8_lossy(&output.stderr);
        assert!(told.contains("invalid.yaml:1: deployment: found 7"), "{told}");
        assert!(told.contains("zone: missing"), "all faults: {told}");
    }
}

#[test]
fn check_exits_with_0_and_starts_nothing() {
    let path = file("valid.yaml", &settings(1));
    let mut command = daemon(&path);
    command.arg("--check");
    let output = finish(command);
    assert_eq!(output.status.code(), Some(0));
    let told = String::from_utf8_lossy(&output.stdout);
    assert!(told.ends_with("valid.yaml: valid\n"), "{told}");
}

#[derive(Deserialize)]
struct Listening {
    operator: SocketAddr,
}

/// A daemon that is killed when a test fails.
struct Running {
    child: Child,
    operator: SocketAddr,
}

impl Running {
    fn start(name: &str, lifetime: u64) -> Running {
        let path = file(name, &settings(lifetime));
        let mut command = daemon(&path);
        let child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
        let mut child = child.expect("it starts");
        let stdout = child.stdout.take().expect("piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let listening: Listening = serde_json::from_str(&line).expect("addresses");
        Running { child, operator: listening.operator }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("kill runs").success());
    }

    async fn exit_code(&mut self) -> Option<i32> {
        let wait = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child") {
                    return status.code();
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(PATIENCE, wait).await.expect("it exits")
    }

    async fn state(&self) -> State {
        let ready = Client::new().get::<Readiness>(self.operator, "/readyz").await;
        match ready {
            Ok(readiness) => readiness.state,
            Err(Error::Status { status: 503, body, .. }) => {
                serde_json::from_str::<Readiness>(&body).expect("JSON").state
            }
            Err(other) => panic!("no answer: {other}"),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[tokio::test]
async fn a_daemon_without_platform_is_healthy_but_not_ready() {
    let daemon = Running::start("alone.yaml", 1);
    assert_eq!(daemon.state().await, State::NoCatalog);
    let client = Client::new();
    let request = tealturn::http::client::request("GET", daemon.operator, "/healthz", "".into());
    let health = client.fetch(daemon.operator, request.expect("valid")).await;
    assert_eq!(health.expect("healthy"), "ok\n");
    let status: Status = client.get(daemon.operator, "/v1/status").await.expect("JSON");
    assert!(!status.ready);
    let counted = async {
        loop {
            let path = "/metrics";
            let request = tealturn::http::client::request("GET", daemon.operator, path, "".into());
            let page = client.fetch(daemon.operator, request.expect("valid")).await;
            let page = String::from_utf8(page.expect("a page").to_vec()).expect("text");
            if page.contains("# TYPE tealturn_") {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(PATIENCE, counted).await.expect("it counts");
}

#[tokio::test]
async fn a_signal_drains_and_exits_with_0() {
    let mut daemon = Running::start("drained.yaml", 1);
    daemon.terminate();
    assert_eq!(daemon.exit_code().await, Some(0));
}

#[tokio::test]
async fn an_operator_drains_it_and_it_exits_with_0() {
    let mut daemon = Running::start("drain.yaml", 1);
    let operator = daemon.operator.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tealturnctl"));
    command.args(["--daemon", &operator, "drain"]);
    let output = finish(command);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"leaving\n");
    assert_eq!(daemon.exit_code().await, Some(0));
}

struct Call {
    name: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    told: &'static str,
}

const CALLS: &[Call] = &[
    Call {
        name: "no daemon given",
        arguments: &["status"],
        code: 2,
        told: "--daemon IP:PORT is required",
    },
    Call {
        name: "a daemon that does not listen",
        arguments: &["--daemon", "127.0.0.1:9", "status"],
        code: 1,
        told: "cannot connect to 127.0.0.1:9",
    },
    Call {
        name: "no such file",
        arguments: &["--daemon", "127.0.0.1:9", "apply", "/nowhere.yaml"],
        code: 2,
        told: "/nowhere.yaml: ",
    },
    Call {
        name: "an unknown verb",
        arguments: &["--daemon", "127.0.0.1:9", "explode"],
        code: 2,
        told: "explode",
    },
    Call {
        name: "no request identifier",
        arguments: &["--daemon", "127.0.0.1:9", "explain", "xyz"],
        code: 2,
        told: "xyz",
    },
];

#[test]
fn the_operators_tool_tells_what_went_wrong() {
    for call in CALLS {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tealturnctl"));
        command.args(call.arguments);
        let output = finish(command);
        assert_eq!(output.status.code(), Some(call.code), "{}", call.name);
        let told = String::from_utf8_lossy(&output.stderr);
        assert!(told.contains(call.told), "{}: {told}", call.name);
    }
}

#[tokio::test]
async fn a_second_signal_exits_with_3_at_once() {
    let mut daemon = Running::start("cut.yaml", 300);
    daemon.terminate();
    let leaving = async {
        while daemon.state().await != State::Leaving {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(PATIENCE, leaving).await.expect("it says so");
    daemon.terminate();
    assert_eq!(daemon.exit_code().await, Some(3));
}
