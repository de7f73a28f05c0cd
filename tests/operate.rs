//! The operator's verbs against two daemons, over the network, on stand-ins of the platform and
//! the engines.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use serde_json::json;
use tealturn::{
    kernel::{context::Context, id::Version},
    operate::{self, Failure, session::Session},
    serve::Controller,
    standin::deployment::{Deployment, Settings},
};
use tokio::{task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

/// Far longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(60);

struct Fleet {
    deployment: Deployment,
    contexts: Vec<Arc<Context>>,
    running: Vec<JoinHandle<()>>,
    stop: CancellationToken,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Fleet {
    async fn start() -> Fleet {
        let stop = CancellationToken::new();
        let settings = Settings { engines: 4, plains: 1, ..Settings::nortebraco() };
        let deployment = Deployment::start(&settings, stop.clone()).await;
        let deployment = deployment.expect("the stand-ins start");
        let mut fleet = Fleet { deployment, contexts: Vec::new(), running: Vec::new(), stop };
        for number in 0..2 {
            fleet.add(number).await;
        }
        fleet
    }

    async fn add(&mut self, number: usize) {
        let listen = "127.0.0.1:0";
        let platform = self.deployment.platform.address();
        let seeds: Vec<_> = self.contexts.iter().map(|it| it.bound_addrs.peer).collect();
        let settings = json!({
            "deployment": "nortebraco",
            "daemon": format!("daemon-{number}"),
            "zone": "sala-a",
            "listen": { "caller": listen, "peer": listen, "operator": listen },
            "platform": { "table": platform, "vms": platform },
            "seeds": seeds,
            "address_lifetime_s": 1,
        });
        let settings = serde_json::from_value(settings).expect("settings");
        let controller = Controller::bind(settings).await.expect("it binds");
        self.contexts.push(controller.context.clone());
        self.running.push(tokio::spawn(controller.run(self.stop.clone())));
    }

    fn operator(&self, number: usize) -> SocketAddr {
        self.contexts[number].bound_addrs.operator
    }

    async fn call(&self, number: usize, arguments: &[&str]) -> Result<String, Failure> {
        let session = Session::new(self.operator(number));
        for verb in operate::verbs() {
            let command = verb.command();
            if command.get_name() != arguments[0] {
                continue;
            }
            let matches = command.try_get_matches_from(arguments).expect("valid");
            return verb.run(&session, &matches).await;
        }
        panic!("no verb {}", arguments[0]);
    }

    /// Calls until the answer is as wanted.
    async fn wait(&self, number: usize, arguments: &[&str], wanted: impl Fn(&str) -> bool) {
        let mut last = String::new();
        let calls = async {
            loop {
                last = match self.call(number, arguments).await {
                    Ok(text) => text,
                    Err(failure) => failure.to_string(),
                };
                if wanted(&last) {
                    return;
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = time::timeout(PATIENCE, calls).await;
        assert!(waited.is_ok(), "{arguments:?} told at last: {last}");
    }

    /// Waits until every engine has this version and no other.
    async fn converge(&self, version: u64) {
        let only = |weights: &[tealturn::upstream::wire::Weights]| {
            weights.len() == 1 && weights[0].version == Version(version)
        };
        let converged = async {
            while !self.deployment.engines.iter().all(|it| only(&it.state().loaded)) {
                time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = time::timeout(PATIENCE, converged).await;
        let states: Vec<_> = self.deployment.engines.iter().map(|it| it.state()).collect();
        assert!(waited.is_ok(), "not at version {version}: {states:?}");
    }
}

fn file(name: &str, version: u64) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = format!(
        "templates:\n- name: notes\n  target: {{model: {{model: assistente, version: {version}}}}}\n  \
         limits: {{priority: 1, concurrency: 4, tokens_per_second: 1000}}\n\
         instances: [{{workspace: notary, template: notes}}]\n\
         credentials: [{{workspace: notary, secret: s3cret}}]\n"
    );
    fs::write(&path, text).expect("writable");
    path.to_str().expect("text").to_owned()
}

/// A daemon starts a load only after it took a load lease.
fn check_causes(timeline: &str) {
    let mut loads = 0;
    let mut slots = Vec::new();
    for line in timeline.lines() {
        let daemon = line.split("  ").nth(1).unwrap_or_default();
        if line.contains("lease control/load") && line.contains("lease_taken") {
            slots.push(daemon);
        }
        if line.contains("starts a load") {
            let slot = slots.iter().position(|it| *it == daemon);
            slots.remove(slot.unwrap_or_else(|| panic!("no lease before {line}")));
            loads += 1;
        }
    }
    assert!(loads >= 4, "one load for each engine: {timeline}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_edit_reaches_daemons_and_engines() {
    let fleet = Fleet::start().await;
    let first = file("first.yaml", 1);
    fleet.wait(0, &["apply", &first], |it| it == "accepted as revision 1\n").await;
    fleet.wait(1, &["get"], |it| it.contains("revision: 1\n")).await;
    let got = fleet.call(1, &["get"]).await.expect("a catalog");
    assert!(!got.contains("s3cret"), "only the digest is kept");

    let second = file("second.yaml", 2);
    let accepted = fleet.call(1, &["apply", &second]).await;
    assert_eq!(accepted.expect("accepted"), "accepted as revision 2\n");
    fleet.converge(2).await;
    let most = fleet.deployment.platform.calls().weights_at_once;
    assert!(most <= 2, "{most} engines loaded at once");

    // An edit made on what was in force before shows both sides, and changes nothing.
    let third = file("third.yaml", 3);
    let refused = fleet.call(0, &["apply", &third, "--base", "1"]).await;
    let refused = refused.expect_err("a conflict");
    assert_eq!(refused.exit_code(), 4);
    let told = refused.to_string();
    assert!(told.contains("\"version\":2"), "theirs: {told}");
    assert!(told.contains("\"version\":3"), "yours: {told}");

    fleet
        .wait(0, &["status"], |it| {
            it.contains("daemon-0 of nortebraco in sala-a: ready, configuration 2")
                && it.contains("daemon-1")
        })
        .await;
    // Of two daemons only one was asked: the time line says so.
    let own = fleet.operator(0).to_string();
    let timeline = fleet.call(0, &["timeline", "--also", &own]).await;
    let timeline = timeline.expect("a time line");
    assert!(timeline.contains("gap: daemon-1 was not asked"), "{timeline}");
    let timeline = fleet.call(0, &["timeline"]).await.expect("a time line");
    assert!(!timeline.contains("gap: "), "{timeline}");
    check_causes(&timeline);
    let none = fleet.call(0, &["explain", "0123456789abcdef0123456789abcdef"]).await;
    assert!(none.expect("an answer").starts_with("no daemon that was asked"));
}

#[tokio::test]
async fn a_change_that_was_not_sent_was_not_applied() {
    let session = Session::new(SocketAddr::from(([127, 0, 0, 1], 9)));
    let file = file("nowhere.yaml", 1);
    for verb in operate::verbs() {
        let command = verb.command();
        if command.get_name() != "apply" {
            continue;
        }
        let arguments = ["apply", &file, "--base", "1"];
        let matches = command.try_get_matches_from(arguments).expect("valid");
        let failure = verb.run(&session, &matches).await.expect_err("nobody there");
        assert_eq!(failure.exit_code(), 5, "{failure}");
    }
}
