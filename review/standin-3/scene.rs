//! The processes of a case: the store, runners, and daemons with the command of the deploy file.

use std::{
    env,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    runner::Settings,
};

/// The command of the deploy file.
const DAEMON: &str = "target/release/tealturn-vm";

/// Ports of a daemon, as on the sheet of settings.
const FRONT: u16 = 8782;
const READY: u16 = 8789;
const DIRECTORY: u16 = 8780;

/// No case takes longer.
const LONGEST: Duration = Duration::from_secs(112);

/// How a record is read.
const LEGEND: &str = "\
The first column is the time in seconds since the script began. Front-N is a daemon, i-N a runner. At the end stands what
the runners did: \"runs A after N\" is attempt A reaching the runner, with Last-Event-Id N (0: from the begin); \"ends A\" is its
answer written whole, \"loses A\" its caller's channel gone, \"crashes\" the runner ending itself at this request.
Lines in braces are of the daemons' logs.";

pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: &'static str,
    settings: PathBuf,
    child: Option<Child>,
    starts: u32,
}

pub struct Runner {
    pub settings: Settings,
    child: Option<Child>,
}

/// Everything that a case starts; it ends when this is dropped.
pub struct Scene {
    root: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    pub store: SocketAddr,
    store_child: Child,
    pub daemons: Vec<Daemon>,
    pub runners: Vec<Runner>,
    guard: Child,
    pub started: Instant,
    record: Vec<String>,
}

/// Ends the processes whose ids it reads, once its input ends.
pub fn guard() {
    let mut ids = String::new();
    let _ = io::stdin().read_to_string(&mut ids);
    for id in ids.lines() {
        let _ = Command::new("kill").args(["-KILL", id]).stderr(Stdio::null()).status();
    }
}

/// Lets this process end when its input does.
pub fn end_with_input() {
    thread::spawn(|| {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        process::exit(0);
    });
}

fn own_program() -> PathBuf {
    env::current_exe().expect("this program")
}

impl Scene {
    /// Starts the store and writes the first configuration. The record begins with what the case is about.
    pub fn start(configuration: &str, about: &str) -> Scene {
        let started = Instant::now();
        let root = env::current_dir().expect("a folder");
        let folder = env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seed = process::id();
        let network = ((16 + seed % 200) as u8, (1 + seed / 200 % 250) as u8);
        let store = free(Ipv4Addr::new(127, network.0, network.1, 2));
        let guard = Command::new(own_program()).arg("guard").stdin(Stdio::piped()).spawn();
        let guard = guard.expect("the guard");
        let store_child = Command::new(own_program())
            .args(["store", &store.to_string()])
            .stdin(Stdio::piped())
            .spawn()
            .expect("the store");
        let (daemons, runners) = (Vec::new(), Vec::new());
        let record = vec![about.to_owned(), LEGEND.to_owned()];
        let mut scene = Scene {
            root,
            folder,
            network,
            store,
            store_child,
            daemons,
            runners,
            guard,
            started,
            record,
        };
        scene.watch(scene.store_child.id());
        thread::spawn(|| {
            thread::sleep(LONGEST);
            eprintln!("the case took too long");
            // The guard ends what is left.
            process::exit(2);
        });
        scene.until("the store answers", |it| it.put("op", "config", configuration));
        scene
    }

    /// Lets the guard end a process if this one ends before.
    fn watch(&mut self, id: u32) {
        let input = self.guard.stdin.as_mut().expect("an input");
        let _ = writeln!(input, "{id}").and_then(|()| input.flush());
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        let target = format!("/standin/put?table={table}&key={key}");
        let patience = Duration::from_secs(1);
        http::call(self.store, "POST", &target, &[], value.as_bytes(), patience).status == 200
    }

    pub fn address(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    pub fn log(&self) -> PathBuf {
        self.folder.join("runners.log")
    }

    /// Starts a runner at an address of its own, or at that of an earlier one.
    pub fn add_runner(&mut self, settings: Settings) {
        let child = self.spawn_runner(&settings);
        self.runners.push(Runner { settings, child: Some(child) });
    }

    fn spawn_runner(&mut self, settings: &Settings) -> Child {
        let child = Command::new(own_program())
            .arg("runner")
            .args(settings.arguments())
            .stdin(Stdio::piped())
            .spawn()
            .expect("a runner");
        self.watch(child.id());
        child
    }

    pub fn runner_address(&self, last: u8) -> SocketAddr {
        free(self.address(last))
    }

    /// Whether a runner's process has ended.
    pub fn has_ended(&mut self, number: usize) -> bool {
        let child = self.runners[number].child.as_mut();
        child.is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    /// Starts a runner again, at the same address.
    pub fn restart_runner(&mut self, number: usize, id: String) {
        self.kill_runner(number);
        let mut settings = self.runners[number].settings.clone();
        settings.id = id;
        let child = self.spawn_runner(&settings);
        self.runners[number] = Runner { settings, child: Some(child) };
    }

    pub fn kill_runner(&mut self, number: usize) {
        if let Some(mut child) = self.runners[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts daemons for the first time, and waits until they are ready.
    pub fn start_daemons(&mut self, count: u8) {
        for number in 0..count {
            let ip = self.address(10 + number);
            let name = format!("front-{}", number + 1);
            let zone = ["sala-a", "sala-b", "sala-c"][usize::from(number) % 3];
            let settings = self.folder.join(format!("{name}.yaml"));
            self.daemons.push(Daemon { name, ip, zone, settings, child: None, starts: 0 });
        }
        for number in 0..self.daemons.len() {
            self.start_daemon(number);
        }
        self.until_ready();
    }

    pub fn start_daemon(&mut self, number: usize) {
        let (root, folder, store) = (self.root.clone(), self.folder.clone(), self.store);
        let daemon = &mut self.daemons[number];
        let text = settings(daemon, store);
        fs::write(&daemon.settings, text).expect("settings");
        daemon.starts += 1;
        let log = folder.join(format!("{}.{}.log", daemon.name, daemon.starts));
        let log = File::create(log).expect("a log");
        let child = Command::new(root.join(DAEMON))
            .current_dir(&root)
            .env("TEALTURN_SETTINGS", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            eprintln!("{DAEMON} does not start: build it first");
            process::exit(2);
        };
        let id = child.id();
        daemon.child = Some(child);
        self.watch(id);
    }

    /// Kills a daemon: SIGKILL.
    pub fn kill_daemon(&mut self, number: usize) {
        if let Some(child) = self.daemons[number].child.as_mut() {
            let _ = child.kill();
        }
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let address = SocketAddr::from((self.daemons[number].ip, READY));
        let patience = Duration::from_millis(500);
        http::call(address, "GET", "/tealturn/readyz", &[], b"", patience).status == 200
    }

    pub fn until_ready(&mut self) {
        self.until("the daemons are ready", |it| {
            (0..it.daemons.len()).all(|number| it.is_ready(number))
        });
    }

    /// Waits until something holds; the case could not run if it doesn't.
    pub fn until(&self, what: &str, holds: impl Fn(&Scene) -> bool) {
        let give_up = Instant::now() + Duration::from_secs(10);
        while !holds(self) {
            if Instant::now() >= give_up {
                eprintln!("not in time: {what}");
                process::exit(2);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.daemons[number].ip, FRONT))
    }

    /// A line of the record, with the seconds since the start.
    pub fn note(&mut self, line: &str) {
        let line = format!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        self.record.push(line);
    }

    /// A line of the record of something that happened at another time.
    pub fn note_at(&mut self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.started).as_secs_f64();
        self.record.push(format!("{at:8.3} {line}"));
    }

    /// The lines that runners wrote: the time in seconds since the start, the runner, and words.
    pub fn runs(&self) -> Vec<(f64, String, Vec<String>)> {
        let text = fs::read_to_string(self.log()).unwrap_or_default();
        let offset = crate::runner::now_ms() as f64 / 1e3 - self.started.elapsed().as_secs_f64();
        let mut runs = Vec::new();
        for line in text.lines() {
            let mut words = line.split(' ').map(str::to_owned);
            let (Some(at), Some(id)) = (words.next(), words.next()) else { continue };
            let at = at.parse::<f64>().unwrap_or_default() / 1e3 - offset;
            runs.push((at, id, words.collect()));
        }
        runs
    }

    /// Lines of the daemons' logs that hold a text, for the record.
    pub fn logged(&self, text: &str, most: usize) -> Vec<String> {
        let mut found = Vec::new();
        for daemon in &self.daemons {
            for start in 1..=daemon.starts {
                let path = self.folder.join(format!("{}.{start}.log", daemon.name));
                let log = fs::read_to_string(path).unwrap_or_default();
                let lines = log.lines().filter(|it| it.contains(text)).take(most);
                found.extend(lines.map(|it| format!("{}: {it}", daemon.name)));
            }
        }
        found
    }

    /// Writes the record, ends all processes, and returns the exit code.
    pub fn finish(mut self, path: &str, broken: Option<String>) -> i32 {
        let verdict = match &broken {
            Some(reason) => format!("BROKEN: {reason}"),
            None => "the rule held".to_owned(),
        };
        self.note(&verdict);
        let runs = self.runs();
        self.record.push("what runners did: seconds, runner, what".to_owned());
        for (at, id, words) in runs {
            self.record.push(format!("{at:8.3} {id} {}", words.join(" ")));
        }
        if let Err(error) = fs::write(path, self.record.join("\n") + "\n") {
            eprintln!("{path}: {error}");
        }
        i32::from(broken.is_some())
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        let daemons = self.daemons.iter_mut().filter_map(|it| it.child.take());
        let runners = self.runners.iter_mut().filter_map(|it| it.child.take());
        for mut child in daemons.chain(runners) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = self.store_child.kill();
        let _ = self.store_child.wait();
        let _ = self.guard.kill();
        let _ = self.guard.wait();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn free(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address");
    listener.local_addr().expect("an address")
}

/// The settings of DEPLOY.md with the bounds of the Nortebraço sheet.
fn settings(daemon: &Daemon, store: SocketAddr) -> String {
    let Daemon { name, ip, zone, starts, .. } = daemon;
    let is_first = *starts == 0;
    format!(
        "node_name: \"{name}\"\nrole: \"router\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"directory\"\n\
         ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"lisboa\"\n\
         zones:\n  sala-a: \"lisboa\"\n  sala-b: \"lisboa\"\n  sala-c: \"lisboa\"\n\
         listen:\n  front: \"{ip}:{FRONT}\"\n  ready: \"{ip}:{READY}\"\n  directory: \"{ip}:{DIRECTORY}\"\n\
         internal_port_range:\n  - 7340\n  - 7355\nseeds: []\nbootstrap: {is_first}\nloss_counts: false\n\
         limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 110\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
         data_dir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeat_ms: 1200\n\
         bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stable_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  \
         drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  \
         downgrade_slack_ms: 250\n  max_stretch_ms: 5000\n  strict_revoke: true\n  revoke_ms: 5000\n  \
         budget_ratio: 0.2\n  budget_window_s: 10\n  budget_extra: 54\n  recover_s: 12\n  transit_ms: 120\n  \
         retry_after_s: 10\n  require_fence: false\n  lease_ms: 3000\n  thaw_ms: 300\n  version_ms: 10000\n  \
         version_all_ms: 14000\n  ttl_max_s: 5\n\
         platform:\n  address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  \
         tx_ms: 3.0\n  partition_writes_s: 300\n  row_bytes: 65536\n  across: true\n  history_s: 20\n  \
         blob_bytes: 8388608\n  blob_ms: 25.0\n  blob_mb_s: 80.0\n"
    )
}

/// Calls a daemon as a client.
pub fn send(
    front: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let mut all = vec![("Host", "wiki.example")];
    all.extend_from_slice(headers);
    http::call(front, method, target, &all, body, Duration::from_secs(16))
}

/// The configuration of Nortebraço Wiki Hosting: its four kinds of requests and two tenants.
pub fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"wiki.example\",\"prefix\":\"/{prefix}/\",\"kind\":\"{kind}\",\
             \"service\":\"{service}\",{more}}}"
        )
    };
    let routes = [
        route(
            "page-tagging",
            "tag",
            "stream",
            "assistente",
            "\"timeout_ms\":5000,\"target_latency_ms\":600,\"priority\":1,\"max_attempts\":1,\"sticky\":true,\
             \"resumable\":false,\"target_gap_ms\":500",
        ),
        route(
            "quick-question",
            "ask",
            "stream",
            "assistente",
            "\"timeout_ms\":15000,\"target_latency_ms\":500,\"priority\":0,\"max_attempts\":2,\"sticky\":true,\
             \"resumable\":true,\"target_gap_ms\":500",
        ),
        route(
            "page-save",
            "save",
            "unsafe",
            "wiki-app",
            "\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,\"max_attempts\":1",
        ),
        route(
            "page-open",
            "open",
            "safe",
            "wiki-app",
            "\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,\"max_attempts\":2",
        ),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[\
         {{\"name\":\"assistente\",\"max_conns\":360,\"health_path\":\"/healthz\",\
         \"engine\":{{\"kv_capacity_tokens\":115005,\"kv_token_bytes\":18432}}}},\
         {{\"name\":\"wiki-app\",\"max_conns\":100,\"health_path\":\"/healthz\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":8000}},\
         \"tenants\":[{{\"name\":\"clinica\",\"keys\":[\"key-clinica\"],\"no_sharing\":false}},\
         {{\"name\":\"notario\",\"keys\":[\"key-notario\"],\"no_sharing\":false}}]}}",
        routes.join(",")
    )
}
