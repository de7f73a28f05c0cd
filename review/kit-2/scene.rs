//! A small deployment on loopback addresses: a store, daemons and runners.

use std::{
    env, fs,
    io::{BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, TcpListener},
    path::PathBuf,
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    daemon::{self, Daemon},
    link::Link,
    record::Record,
    runner::Manner,
    store::Store,
};

/// How long a process may take to start.
const STARTUP: Duration = Duration::from_secs(15);

pub const HOST: &str = "jepu9.example";
pub const MODEL: &str = "m0";

/// The services of model runners and of plain ones.
pub const ENGINES: &str = "huvo11a";
pub const PLAIN: &str = "kafi81c";

/// What the sheet of a site says of its short questions.
#[derive(Clone, Copy)]
pub struct Sheet {
    pub aim_ms: u32,
    pub pause_ms: u32,
}

pub const NORTEBRACO: Sheet = Sheet { aim_ms: 500, pause_ms: 500 };
pub const CWR: Sheet = Sheet { aim_ms: 800, pause_ms: 800 };

/// The deployment; its processes end with it.
pub struct Scene {
    pub store: Arc<Store>,
    pub daemons: Vec<Daemon>,
    pub record: Record,
    folder: PathBuf,
    network: (u8, u8),
    address: String,
    sheet: Sheet,
    /// That of the next configuration.
    version: AtomicU64,
}

/// A runner's process.
pub struct Runner {
    process: Child,
    /// The process ends when this is closed.
    input: ChildStdin,
    pub id: String,
    pub address: String,
    pub version: String,
    born: u128,
}

impl Scene {
    /// Starts a store and daemons with a configuration; an error if the case can't run.
    pub fn start(folder: &str, daemons: u8, sheet: Sheet) -> Result<Scene, String> {
        let fault = |error: std::io::Error| error.to_string();
        let record = Record::create(folder).map_err(fault)?;
        let id = std::process::id();
        // Addresses that nothing listens on.
        let free =
            |it: &u8| TcpListener::bind((Ipv4Addr::new(127, *it, id as u8, 1), 8784)).is_ok();
        let network = (64..128).find(free).ok_or("no free address")?;
        let network = (network, id as u8);
        let temporary = env::temp_dir().join(format!("tealturn-review-{id}"));
        fs::create_dir_all(&temporary).map_err(fault)?;
        let address = format!("127.{}.{}.1:8784", network.0, network.1);
        let store = Store::start(&address).map_err(fault)?;
        let mut scene = Scene {
            store,
            daemons: Vec::new(),
            record,
            folder: temporary,
            network,
            address,
            sheet,
            version: AtomicU64::new(7),
        };
        scene.configure();
        scene.start_daemons(daemons, true)?;
        for daemon in &scene.daemons {
            if !daemon.wait(STARTUP) {
                return Err(format!("{} is not ready", daemon.name));
            }
        }
        Ok(scene)
    }

    /// Writes the next version of the configuration, which is like the one before.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        self.store.put("op", "config", Some(&configuration(self.sheet, version)));
    }

    /// Starts daemons, for the first time or after they were killed.
    pub fn start_daemons(&mut self, count: u8, is_first: bool) -> Result<(), String> {
        for number in 0..count {
            let ip = IpAddr::V4(Ipv4Addr::new(127, self.network.0, self.network.1, 10 + number));
            let daemon = daemon::start(&self.folder, number, ip, &self.address, is_first);
            self.daemons.push(daemon.map_err(|it| it.to_string())?);
        }
        Ok(())
    }

    /// Starts a link to each daemon.
    pub fn start_links(&self) -> Result<Vec<Link>, String> {
        let mut links = Vec::new();
        for (number, daemon) in self.daemons.iter().enumerate() {
            let ip = Ipv4Addr::new(127, self.network.0, self.network.1, 30 + number as u8);
            let link = Link::start((ip, 8782).into(), daemon.front);
            links.push(link.map_err(|it| it.to_string())?);
        }
        Ok(links)
    }

    /// The address of a proxy before a runner.
    pub fn proxy_address(&self, number: u8) -> String {
        format!("127.{}.{}.{}:8080", self.network.0, self.network.1, 60 + number)
    }

    /// Starts a runner's process and waits until it listens.
    pub fn start_runner(
        &self,
        number: u8,
        version: &str,
        manner: &Manner,
    ) -> Result<Runner, String> {
        let address = format!("127.{}.{}.{}:8080", self.network.0, self.network.1, 100 + number);
        let id = format!("i-{number:04x}");
        let own = env::current_exe().map_err(|it| it.to_string())?;
        let mut process = Command::new(own)
            .args(["runner", &address, &id, version])
            .args(manner.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|it| it.to_string())?;
        let (input, output) = process.stdin.take().zip(process.stdout.take()).ok_or("no pipe")?;
        let (record, name) = (self.record.clone(), id.clone());
        let (sender, started) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.note(&format!("runner {name}: {line}"));
                if line == "listening" {
                    let _ = sender.send(());
                }
            }
        });
        started.recv_timeout(STARTUP).map_err(|_| format!("{id} doesn't listen"))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let version = version.to_owned();
        Ok(Runner { process, input, id, address, version, born })
    }

    /// Writes the entry of a runner.
    pub fn register(&self, runner: &Runner, state: &str, sequence: u64) {
        self.register_at(runner, ENGINES, &runner.address, state, sequence);
    }

    /// The same for a runner of a service that is reached at another address.
    pub fn register_at(
        &self,
        runner: &Runner,
        service: &str,
        address: &str,
        state: &str,
        sequence: u64,
    ) {
        let Runner { id, version, born, .. } = runner;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"sala-a\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born},\"stage\":\"both\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]}}"
        );
        self.store.put("servers", id, Some(&entry));
        self.record.note(&format!("entry of {id}: {version}, {state}"));
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.daemons.clear();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Runner {
    /// Whether the process has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|it| it.is_some())
    }

    /// Makes it say in all its answers that it leaves.
    pub fn announce_leaving(&mut self) {
        let _ = self.input.write_all(b"leave\n");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The routes of two kinds of streams, and the service of their model runners.
fn configuration(sheet: Sheet, version: u64) -> String {
    let Sheet { aim_ms, pause_ms } = sheet;
    let route = |name: &str, prefix: &str, aim: u32, limit: u32, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"stream\",\
             \"timeout_ms\":{limit},\"target_latency_ms\":{aim},\"priority\":1,\
             \"service\":\"huvo11a\",\"max_attempts\":{attempts},\"public\":true,\"sticky\":true,\
             \"resumable\":{resumable},\"target_gap_ms\":{pause_ms}}}"
        )
    };
    let tagging = route("page-tagging", "/tag/", 600, 5_000, 1, false);
    let plain = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\"service\":\"{PLAIN}\",\
             \"max_attempts\":{attempts},\"public\":true}}"
        )
    };
    let (open, save) =
        (plain("page-open", "/open/", "safe", 2), plain("page-save", "/save/", "unsafe", 1));
    let question = route("quick-question", "/ask/", aim_ms, 15_000, 2, true);
    format!(
        "{{\"version\":{version},\"routes\":[{tagging},{question},{open},{save}],\"services\":[{{\"name\":\"huvo11a\",\
         \"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity_tokens\":115005,\"kv_token_bytes\":18432,\
         \"max_inflight\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}},{{\"name\":\"{PLAIN}\",\
         \"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}
