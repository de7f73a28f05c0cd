//! Learns the daemons of the fleet from the VM list.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::member::Member,
    kernel::{
        context::Context,
        id::{Daemon, Incarnation},
        part::{Part, Registration},
    },
    platform::vm::{Entry, Role, State},
};

/// The time between two readings of the VM list.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

inventory::submit! {
    Registration {
        name: "watch",
        make: || Box::new(Watch),
    }
}

struct Watch;

#[async_trait]
impl Part for Watch {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        loop {
            if let Ok(entries) = context.vms.entries().await {
                let own = &context.settings.daemon;
                let members = entries.iter().filter_map(member);
                let members = members.filter(|it| it.daemon != *own).collect();
                context.members.set(members);
            }
            tokio::select! {
                () = time::sleep(READ_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
        }
    }
}

fn member(entry: &Entry) -> Option<Member> {
    let Role::Daemon { peer } = entry.role else {
        return None;
    };
    Some(Member {
        daemon: Daemon::from(entry.name.as_str()),
        incarnation: Incarnation(0),
        zone: entry.zone.clone(),
        caller: entry.address,
        peer,
        leaving: entry.state == State::Leaving,
    })
}
