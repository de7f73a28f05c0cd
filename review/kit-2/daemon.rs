//! The project's daemon, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::caller;

pub struct Daemon {
    pub process: Child,
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Writes the settings of a daemon and starts it. The settings are those of the pages' example, but for
/// the addresses.
pub fn start(
    folder: &Path,
    number: u8,
    ip: IpAddr,
    store: &str,
    is_first: bool,
) -> std::io::Result<Daemon> {
    let zone = ["sala-a", "sala-b", "sala-c"][usize::from(number) % 3];
    let name = format!("front-{zone}-{number}");
    let settings = folder.join(format!("{name}.yaml"));
    let text = format!(
        "node_name: \"{name}\"\nrole: \"router\"\nmachine_class: \"front\"\n\
         serves:\n  - \"front\"\n  - \"directory\"\nip: \"{ip}\"\nzone: \"{zone}\"\n\
         region: \"lisboa\"\nzones:\n  sala-a: \"lisboa\"\n  sala-b: \"lisboa\"\n  sala-c: \"lisboa\"\n\
         listen:\n  front: \"{ip}:8782\"\n  ready: \"{ip}:8789\"\n  control: \"{ip}:8783\"\n  \
         directory: \"{ip}:8780\"\ninternal_port_range:\n  - 7340\n  - 7355\nseeds: []\n\
         bootstrap: {is_first}\nloss_counts: false\n\
         limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 110\n  max_fds: 4100\n  \
         link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\n\
         entry: \"directory\"\nheartbeat_ms: 1200\n\
         fault_tolerance:\n  machines: 2\n  zones: 0\n  regions: 0\n\
         bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stable_ms: 3000\n  ack_ms: 4000\n  \
         catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  \
         config_apply_ms: 2000\n  downgrade_slack_ms: 250\n  max_stretch_ms: 5000\n  \
         strict_revoke: true\n  revoke_ms: 5000\n  budget_ratio: 0.2\n  budget_window_s: 10\n  \
         budget_extra: 54\n  recover_s: 12\n  transit_ms: 120\n  retry_after_s: 10\n  \
         require_fence: false\n  lease_ms: 3000\n  thaw_ms: 300\n  version_ms: 10000\n  \
         version_all_ms: 14000\n  ttl_max_s: 5\n\
         platform:\n  address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  \
         reads_per_s: 2000\n  tx_ms: 3.0\n  partition_writes_s: 300\n  row_bytes: 65536\n  \
         across: true\n  history_s: 20\n"
    );
    fs::write(&settings, text)?;
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
    let process = Command::new("target/release/tealturn-vm")
        .env_clear()
        .env("TEALTURN_SETTINGS", &settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    let (front, ready) = ((ip, 8782).into(), (ip, 8789).into());
    Ok(Daemon { process, name, front, ready })
}

impl Daemon {
    /// Waits until the daemon says that it is ready.
    pub fn wait(&self, patience: Duration) -> bool {
        let start = Instant::now();
        let request = "GET /tealturn/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while start.elapsed() < patience {
            let answer = caller::call(self.ready, request, Duration::from_secs(1));
            if answer.is_some_and(|it| it.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
