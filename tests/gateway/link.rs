//! Links of VMs with a rate, which everything that is on its way shares.

use std::time::Duration;

/// Something on its way to a VM.
pub struct Flow<T> {
    /// The sending VM; `None` for the store, whose own link is wide.
    pub from: Option<usize>,
    /// The receiving VM.
    pub to: usize,
    /// Bytes that have yet to be sent.
    pub bytes: f64,
    /// What arrives with the last byte.
    pub payload: T,
}

/// The links of all VMs, each with the same rate both ways.
pub struct Links<T> {
    /// Bytes a second, by VM.
    rates: Vec<f64>,
    flows: Vec<Flow<T>>,
}

impl<T> Links<T> {
    /// Idle links of these rates in bytes a second.
    pub fn new(rates: Vec<f64>) -> Links<T> {
        Links { rates, flows: Vec::new() }
    }

    /// Begins to send.
    pub fn send(&mut self, flow: Flow<T>) {
        self.flows.push(flow);
    }

    /// All that is on its way.
    pub fn flows(&self) -> impl Iterator<Item = &Flow<T>> {
        self.flows.iter()
    }

    /// Lets time pass and returns what has arrived. The flows of a link have equal shares of it.
    pub fn advance(&mut self, time: Duration) -> Vec<Flow<T>> {
        let (mut up, mut down) = (vec![0.0; self.rates.len()], vec![0.0; self.rates.len()]);
        for flow in &self.flows {
            down[flow.to] += 1.0;
            if let Some(from) = flow.from {
                up[from] += 1.0;
            }
        }
        for flow in &mut self.flows {
            let received = self.rates[flow.to] / down[flow.to];
            let sent = flow.from.map_or(f64::MAX, |it| self.rates[it] / up[it]);
            flow.bytes -= received.min(sent) * time.as_secs_f64();
        }
        self.remove(|it| it.bytes <= 0.0)
    }

    /// Takes flows off the links.
    pub fn remove(&mut self, is_removed: impl Fn(&Flow<T>) -> bool) -> Vec<Flow<T>> {
        self.flows.extract_if(.., |it| is_removed(it)).collect()
    }
}
