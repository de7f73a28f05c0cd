//! The cases.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record, give_up,
    http::{self, Answer},
    process::{self, Daemon, Folder, Runner},
    runner::EVENTS,
    store::Store,
};

/// Plays a case; returns how the rule was broken.
pub fn play(name: &str, record: &Record, has_trouble: bool) -> Vec<String> {
    match name {
        "wall" => wall(record, has_trouble),
        "order" => order(record, has_trouble),
        "keys" => keys(record, has_trouble),
        "entry" => foreign_entry(record, has_trouble),
        "versions" => versions(record, has_trouble),
        "drill" => drill(record, has_trouble),
        _ => give_up("no such case"),
    }
}

/// A tenant of the configuration.
fn tenant(name: &str, key: &str, no_sharing: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"keys\":[\"{key}\"],\"priority\":1,\"no_sharing\":{no_sharing}}}"
    )
}

/// A configuration with the routes of a small installation.
fn configuration(version: u64, tenants: &[String]) -> String {
    let route = |name: &str,
                 service: &str,
                 kind: &str,
                 timeout: u32,
                 target: u32,
                 priority: u32,
                 attempts: u32,
                 resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"wiki.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":{priority},\
             \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\"sticky\":{},\
             \"resumable\":{resumable},\"target_gap_ms\":500}}",
            kind == "stream"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[\
         {{\"name\":\"assistente\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity_tokens\":115005,\"kv_token_bytes\":18432,\"link_mbps\":370000.0,\
         \"models\":[{{\"name\":\"m0\"}}]}}}},\
         {{\"name\":\"wiki-app\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        route("tag", "assistente", "stream", 5_000, 600, 1, 1, false),
        route("ask", "assistente", "stream", 15_000, 500, 0, 2, true),
        route("save", "wiki-app", "unsafe", 600, 100, 2, 1, false),
        tenants.join(",")
    )
}

/// The entry of a model runner.
fn entry(runner: &Runner, state: &str, sequence: u64) -> String {
    let (address, born) = (runner.address, runner.born);
    format!(
        "{{\"service\":\"assistente\",\"address\":\"{address}\",\"zone\":\"sala-a\",\"version\":\"v1\",\"slots\":64,\
         \"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"born\":{born},\
         \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}"
    )
}

/// Store, operator, runners and daemons of a small installation.
struct Scene {
    store: Arc<Store>,
    runners: Vec<Runner>,
    daemons: Vec<Daemon>,
    _folder: Folder,
}

impl Scene {
    fn start(
        record: &Record,
        tenants: &[String],
        runners: usize,
        daemons: usize,
        behaviour: &str,
    ) -> Scene {
        let ips = process::free_ips(daemons + 1);
        let folder = Folder::new();
        let (store, address) = Store::start(&ips[daemons]);
        store.put("op", "config", &configuration(1, tenants));
        store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        record.line(&format!(
            "the operator writes configuration 1 with tenants [{}]",
            tenants.join(",")
        ));
        let mut all = Vec::new();
        for number in 1..=runners {
            let runner = Runner::start(&format!("i-{number}"), &ips[daemons], behaviour);
            store.put("servers", &runner.process.name, &entry(&runner, "ready", 1));
            record.line(&format!("runner {} at {}", runner.process.name, runner.address));
            all.push(runner);
        }
        let start = |number: usize| Daemon::start(&folder.0, number + 1, &ips[number], address);
        let daemons: Vec<Daemon> = (0..daemons).map(start).collect();
        process::wait_until_ready(&daemons);
        record.line(&format!("{} daemons are ready", daemons.len()));
        Scene { store, runners: all, daemons, _folder: folder }
    }

    /// Writes down what the runners printed, and returns it.
    fn runs(&self, record: &Record) -> Vec<String> {
        self.runners.iter().flat_map(|it| it.runs(record)).collect()
    }
}

/// A request of a caller for a model.
fn prompt(path: &str, attempt: &str, key: &str, parts: &str, deadline_ms: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: wiki.example\r\nX-Tealturn-Request-Attempt: {attempt}\r\n\
         X-Tealturn-Model: m0\r\nX-Tealturn-Token-Count: 1460,80\r\nX-Tealturn-Prompt-Prefix: {parts}\r\n\
         X-Tealturn-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
    )
}

fn send(record: &Record, daemon: &Daemon, head: &str, attempt: &str) -> Answer {
    let lines = head.lines();
    let told: Vec<_> = lines
        .enumerate()
        .filter(|(number, it)| {
            *number == 0 || it.starts_with("Authorization") || it.contains("Prompt-Prefix")
        })
        .map(|(_, it)| it)
        .collect();
    record.line(&format!("client sends {attempt} to {}: {}", daemon.process.name, told.join("; ")));
    let answer = http::call(daemon.front, head, "a question", Duration::from_secs(20));
    record.line(&format!(
        "client gets for {attempt} status {} of {} bytes, complete: {}",
        answer.status,
        answer.body.len(),
        answer.complete
    ));
    answer
}

/// What of the runners' lines shows that a request used KV cache that a request of another tenant made, where one of
/// the two is among those that share with nobody.
fn shared_walls(runs: &[String], alone: &[&str]) -> Vec<String> {
    let tenant = |text: &str| {
        let (_, rest) = text.split_once("tenant=").unwrap_or_default();
        rest.split(" part=")
            .next()
            .and_then(|it| it.split(" salt=").next())
            .unwrap_or_default()
            .to_owned()
    };
    let mut broken = Vec::new();
    for line in runs {
        let Some((user, maker)) = line.split_once(" made by ") else { continue };
        let (user, maker) = (tenant(user), tenant(maker));
        if user != maker && [&user, &maker].iter().any(|it| alone.contains(&it.as_str())) {
            broken.push(format!("WALL: {line}"));
        }
    }
    broken
}

/// WALL: a tenant is made `no_sharing` by a change of the configuration. What its requests made before must
/// serve no other tenant from then on.
fn wall(record: &Record, has_trouble: bool) -> Vec<String> {
    let tenants = |is_alone| {
        vec![tenant("clinic", "key-clinic", is_alone), tenant("notary", "key-notary", false)]
    };
    // Without the disruption the clinic is `no_sharing` from the start.
    let scene = Scene::start(record, &tenants(!has_trouble), 1, 3, "short");
    let shared = "5c1e07a2:800,91bd3f06:410";
    let [first, second, third] = &scene.daemons[..] else { give_up("three daemons") };
    let ask = |daemon: &Daemon, attempt: &str, key: &str, own: &str| {
        let head = prompt("/ask/1", attempt, key, &format!("{shared},{own}:250"), 15_000);
        if send(record, daemon, &head, attempt).status != 200 {
            give_up("a request was not served");
        }
    };
    ask(first, "a1", "key-clinic", "aaaa0001");
    let before = scene.runs(record).len();
    if has_trouble {
        scene.store.put("op", "config", &configuration(2, &tenants(true)));
        record.line(
            "the operator writes configuration 2: the clinic is no_sharing; the store confirms it",
        );
    }
    // The configuration applies everywhere after `config_apply_ms`, which is 2 s.
    thread::sleep(Duration::from_secs(5));
    ask(second, "b1", "key-notary", "bbbb0001");
    ask(third, "b2", "key-notary", "bbbb0002");
    ask(first, "b3", "key-notary", "bbbb0003");
    // The clinic's own next request shows that the change is in force.
    ask(second, "a2", "key-clinic", "aaaa0002");
    let runs = scene.runs(record);
    shared_walls(&runs[before..], &["clinic"])
}

/// ORDER: a runner leaves, and is gone 2 s after its notice while it answers streams that have neither a length nor
/// chunks. The streams must go on elsewhere, or be seen to be broken.
fn order(record: &Record, has_trouble: bool) -> Vec<String> {
    let tenants = [tenant("notary", "key-notary", false)];
    let mut scene = Scene::start(record, &tenants, 4, 1, "long");
    let front = scene.daemons[0].front;
    let started = Instant::now();
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    // The parts are the same, so that one runner gets all of these.
    let calls: Vec<_> = [("/ask/1", "s1", 15_000), ("/tag/1", "s2", 5_000)]
        .into_iter()
        .map(|(path, attempt, deadline)| {
            let head = prompt(
                path,
                attempt,
                "key-notary",
                "5c1e07a2:800,91bd3f06:410,aaaa0001:250",
                deadline,
            );
            record.line(&format!("client sends {attempt} to {path}"));
            let answers = answers.clone();
            thread::spawn(move || {
                let answer = http::call(front, &head, "a question", Duration::from_secs(20));
                answers.lock().unwrap().push((attempt.to_owned(), answer));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let busy: Vec<usize> = (0..scene.runners.len())
        .filter(|it| !scene.runners[*it].process.lines_with(" runs ").is_empty())
        .collect();
    let [leaving] = busy[..] else { give_up("the requests are not at one runner") };
    let name = scene.runners[leaving].process.name.clone();
    let leave = "POST /leave HTTP/1.1\r\nHost: x\r\n";
    http::call(scene.runners[leaving].address, leave, "", Duration::from_secs(1));
    scene.store.put("servers", &name, &entry(&scene.runners[leaving], "draining", 2));
    record.line(&format!("runner {name} reports draining; the store confirms it"));
    thread::sleep(Duration::from_millis(2_000));
    if has_trouble {
        scene.runners[leaving].process.kill();
        record.line(&format!("runner {name} is gone, 2 s after its notice"));
    }
    for call in calls {
        let _ = call.join();
    }
    record.line(&format!("all answered after {:.1} s", started.elapsed().as_secs_f64()));
    let runs = scene.runs(record);
    let mut broken = Vec::new();
    for (attempt, answer) in answers.lock().unwrap().iter() {
        let events = answer.text().matches("id: ").count();
        let made = runs.iter().filter(|it| it.contains(&format!(" wrote for {attempt} "))).count();
        let (status, complete) = (answer.status, answer.complete);
        let text = format!(
            "{attempt}: status {status}, {events} of {EVENTS} events, complete: {complete}, {made} events were made"
        );
        record.line(&format!("client gets for {text}"));
        scene.daemons[0].log(record, attempt);
        if status == 200 && complete && events < EVENTS {
            broken.push(format!("ORDER: {text}"));
        }
        if !has_trouble && events < EVENTS {
            give_up("a stream broke off without a disruption");
        }
    }
    broken
}

/// CONFIG and ROUTE: the operator takes the last tenant away. Its key, and one that no configuration ever held, must
/// not let requests run from `revoke_ms` on.
fn keys(record: &Record, has_trouble: bool) -> Vec<String> {
    let tenants = [tenant("clinic", "key-clinic", false)];
    let scene = Scene::start(record, &tenants, 1, 3, "short");
    let parts = "5c1e07a2:800,91bd3f06:410,aaaa0001:250";
    let ask = |daemon: &Daemon, attempt: &str, key: &str| {
        send(record, daemon, &prompt("/ask/1", attempt, key, parts, 15_000), attempt).status
    };
    if ask(&scene.daemons[0], "before-clinic", "key-clinic") != 200 {
        give_up("a request with a good key was not served");
    }
    if ask(&scene.daemons[0], "before-nobody", "key-nobody") != 401 {
        give_up("a request with an unknown key was not answered 401");
    }
    if has_trouble {
        scene.store.put("op", "config", &configuration(2, &[]));
        record.line("the operator writes configuration 2 with tenants []; the store confirms it");
    }
    // `revoke_ms` is 5 s, counted from the confirmation.
    thread::sleep(Duration::from_millis(6_500));
    for (number, daemon) in scene.daemons.iter().enumerate() {
        let status = ask(daemon, &format!("after-clinic-{}", number + 1), "key-clinic");
        if !has_trouble && status != 200 {
            give_up("a request with a good key was not served");
        }
        ask(daemon, &format!("after-nobody-{}", number + 1), "key-nobody");
    }
    let runs = scene.runs(record);
    let mut broken = Vec::new();
    for line in runs.iter().filter(|it| it.contains(" runs ")) {
        if line.contains(" after-nobody-") {
            broken.push(format!("ROUTE: the key was never held: {line}"));
        } else if has_trouble && line.contains(" after-clinic-") {
            broken.push(format!("CONFIG: the key was taken away: {line}"));
        }
    }
    broken
}

/// The entry of a runner of the plain service.
fn plain_entry(runner: &Runner, sequence: u64) -> String {
    let (address, born) = (runner.address, runner.born);
    format!(
        "{{\"service\":\"wiki-app\",\"address\":\"{address}\",\"zone\":\"sala-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born},\
         \"sequence\":{sequence}}}"
    )
}

/// A request of a caller that may run once.
fn save(attempt: &str) -> String {
    format!(
        "POST /save/1 HTTP/1.1\r\nHost: wiki.example\r\nX-Tealturn-Request-Attempt: {attempt}\r\n\
         X-Tealturn-Deadline-Ms: 600\r\nAuthorization: Bearer key-notary\r\n"
    )
}

/// ROUTE: another writer replaces the entry of a model runner by one that lacks fields and names another service. It
/// names no runner to use, so the model runner must run no request of that service.
fn foreign_entry(record: &Record, has_trouble: bool) -> Vec<String> {
    let tenants = [tenant("notary", "key-notary", false)];
    let scene = Scene::start(record, &tenants, 2, 1, "short");
    let [model, plain] = &scene.runners[..] else { give_up("two runners") };
    let beat = |sequence: u64| {
        scene.store.put("servers", &model.process.name, &entry(model, "ready", sequence));
        scene.store.put("servers", &plain.process.name, &plain_entry(plain, sequence));
    };
    beat(2);
    record.line(&format!(
        "{} is of assistente, {} of wiki-app",
        model.process.name, plain.process.name
    ));
    thread::sleep(Duration::from_millis(1_200));
    let foreign = format!(
        "{{\"service\":\"wiki-app\",\"address\":\"{}\",\"zone\":\"sala-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\"}}",
        model.address
    );
    // Runners write their entries each 1.2 s, whatever another writer does.
    for sequence in 3..8 {
        beat(sequence);
        thread::sleep(Duration::from_millis(200));
        if has_trouble && sequence == 4 {
            scene.store.put("servers", &model.process.name, &foreign);
            record.line(&format!(
                "another writer writes {foreign} at servers/{}",
                model.process.name
            ));
        }
        let begun = Instant::now();
        for number in 0.. {
            let left = Duration::from_millis(1_000).saturating_sub(begun.elapsed());
            if left.is_zero() {
                break;
            }
            let attempt = format!("w{sequence}-{number}");
            send(record, &scene.daemons[0], &save(&attempt), &attempt);
            thread::sleep(left.min(Duration::from_millis(50)));
        }
    }
    let runs = scene.runs(record);
    let misplaced = runs.iter().filter(|it| {
        it.starts_with(&format!("{} runs ", model.process.name)) && it.contains(" /save/1 ")
    });
    misplaced
        .map(|it| format!("ROUTE: a runner of assistente ran a request of wiki-app: {it}"))
        .collect()
}

/// ORDER: while the store is down, two runners crash one after the other, and start again under their names with newer
/// software. No stream may hold events of both versions.
fn versions(record: &Record, has_trouble: bool) -> Vec<String> {
    let tenants = [tenant("notary", "key-notary", false)];
    let mut scene = Scene::start(record, &tenants, 4, 1, "v1");
    let ip = scene.runners[0].address.ip().to_string();
    let registration = |runner: &Runner, version: &str, sequence: u64| {
        let entry = entry(runner, "ready", sequence);
        entry.replace("\"version\":\"v1\"", &format!("\"version\":\"{version}\""))
    };
    // The routes are public, since requests with keys are served for a few seconds only while the store is down. All
    // have one priority.
    let public = configuration(2, &tenants).replace("\"public\":false", "\"public\":true");
    let public = public.replace("\"priority\":0", "\"priority\":1");
    scene.store.put("op", "config", &public);
    // Two of the four have the newer software from the start.
    for index in [2, 3] {
        let name = format!("i-{}", index + 1);
        scene.runners[index] = Runner::start(&name, &ip, "v2");
        let address = scene.runners[index].address;
        scene.store.put("servers", &name, &registration(&scene.runners[index], "v2", 2));
        record.line(&format!("runner {name} at {address} has version v2, the first two have v1"));
    }
    thread::sleep(Duration::from_millis(1_500));
    let front = scene.daemons[0].front;
    let calls: Vec<_> = (0..24)
        .map(|number| {
            let attempt = format!("v{number}");
            let parts = format!("5c1e07a2:400,91bd{number:04x}:810,aaaa{number:04x}:250");
            let head = prompt("/ask/1", &attempt, "key-notary", &parts, 15_000);
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                let body = format!("question {number}");
                let answer = http::call(front, &head, &body, Duration::from_secs(20));
                (attempt, answer)
            })
        })
        .collect();
    record.line("client has sent 24 requests for streams of 8 s");
    let begun = Instant::now();
    let wait_until = |at: u64| {
        thread::sleep(Duration::from_millis(at).saturating_sub(begun.elapsed()));
    };
    let mut old = Vec::new();
    if has_trouble {
        wait_until(300);
        scene.store.go_down();
        record.line("the store is down");
        for (index, at) in [(0, 700), (1, 4_200)] {
            wait_until(at);
            let (name, address) = (format!("i-{}", index + 1), scene.runners[index].address);
            scene.runners[index].process.kill();
            record.line(&format!("runner {name} crashes"));
            wait_until(at + 1_000);
            let back = Runner::start(&name, &address.to_string(), "v2");
            old.push(std::mem::replace(&mut scene.runners[index], back));
            record.line(&format!("runner {name} is back under its name, with version v2"));
        }
        wait_until(7_000);
        scene.store.be_back();
        for index in [0, 1] {
            let name = format!("i-{}", index + 1);
            scene.store.put("servers", &name, &registration(&scene.runners[index], "v2", 1));
        }
        record.line("the store is back; the runners write their entries");
    }
    let answers: Vec<_> = calls.into_iter().filter_map(|it| it.join().ok()).collect();
    for runner in &old {
        runner.runs(record);
    }
    scene.runs(record);
    let mut joined = Vec::new();
    for (attempt, answer) in answers {
        let text = answer.text();
        let count = |version: &str| text.matches(&format!("-{version}-")).count();
        let (first, second) = (count("v1"), count("v2"));
        let text = format!(
            "{attempt}: status {}, complete: {}, {first} events of v1 and {second} of v2",
            answer.status, answer.complete
        );
        record.line(&format!("client gets for {text}"));
        if first > 0 && second > 0 {
            joined.push(format!("ORDER: {text}"));
        }
    }
    // More than two such streams break the rule.
    if joined.len() > 2 { joined } else { Vec::new() }
}

/// DRAIN: a runner leaves, which the daemon reads from the store. Then the store comes back from a copy that still
/// has the runner's entry, in a drill. The runner must get no requests from `drain_ms` after its leaving on.
fn drill(record: &Record, has_trouble: bool) -> Vec<String> {
    let tenants = [tenant("notary", "key-notary", false)];
    let mut scene = Scene::start(record, &tenants, 4, 1, "slow");
    let beat = |store: &Store, runners: &[Runner], sequence: u64| {
        for runner in runners {
            store.put("servers", &runner.process.name, &plain_entry(runner, sequence));
        }
    };
    beat(&scene.store, &scene.runners, 2);
    thread::sleep(Duration::from_millis(1_200));
    beat(&scene.store, &scene.runners, 3);
    let copy = scene.store.copy();
    record.line("a copy of the store is made");
    thread::sleep(Duration::from_millis(1_200));
    beat(&scene.store, &scene.runners, 4);
    thread::sleep(Duration::from_millis(800));
    let left = Instant::now();
    http::call(
        scene.runners[0].address,
        "POST /leave HTTP/1.1\r\nHost: x\r\n",
        "",
        Duration::from_secs(1),
    );
    scene.store.drop_row("servers", "i-1");
    record.line("runner i-1 leaves: its entry is removed; the store confirms it");
    // In milliseconds after that. The runners that stay write their entries each 1.2 s, and at once when the store is
    // back; i-1 serves for 4.2 s.
    let beats: Vec<u64> = match has_trouble {
        true => vec![400, 1_050, 2_250, 3_450, 4_650],
        false => vec![400, 1_600, 2_800, 4_000],
    };
    let (away, back, gone, end) = (700, 1_000, 4_200, 5_000);
    let front = scene.daemons[0].front;
    let mut calls = Vec::new();
    let mut passed = 0;
    for number in 0.. {
        let now = left.elapsed().as_millis() as u64;
        let is_due = |at: u64| passed < at && at <= now;
        if has_trouble && is_due(away) {
            scene.store.go_down();
            record.line("the store is down");
        }
        if has_trouble && is_due(back) {
            scene.store.come_back(copy.clone());
            record.line("the store is back from the copy; the operator writes its rows again");
            scene.store.put("op", "config", &configuration(1, &tenants));
            scene.store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        }
        for (count, _) in beats.iter().enumerate().filter(|(_, at)| is_due(**at)) {
            beat(&scene.store, &scene.runners[1..], 5 + count as u64);
        }
        if is_due(gone) {
            scene.runners[0].process.kill();
            scene.store.drop_row("servers", "i-1");
            record.line("runner i-1 has left; it has no entry");
        }
        if now >= end {
            break;
        }
        passed = now;
        let attempt = format!("d{number}");
        let sent = left.elapsed();
        calls.push(thread::spawn(move || {
            let answer = http::call(front, &save(&attempt), "a page", Duration::from_secs(5));
            (attempt, sent, answer.status)
        }));
        thread::sleep(Duration::from_millis(20));
    }
    let answers: Vec<_> = calls.into_iter().filter_map(|it| it.join().ok()).collect();
    let runs = scene.runs(record);
    let mut broken = Vec::new();
    for (attempt, sent, status) in answers {
        let run = runs.iter().find(|it| it.contains(&format!(" runs {attempt} ")));
        let by = run.and_then(|it| it.split(' ').next()).unwrap_or("nobody");
        let text = format!(
            "{attempt} was sent {:.3} s after i-1 had left, run by {by}, answered {status}",
            sent.as_secs_f64()
        );
        record.line(&text);
        // `drain_ms` is 2 s.
        if by == "i-1" && sent > Duration::from_millis(2_000) {
            broken.push(format!("DRAIN: {text}"));
        }
    }
    broken
}
