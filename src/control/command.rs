//! The part of [`Core`] that gives orders and uses load leases.

use crate::{
    control::{
        charge::{Action, SEND_WITHIN, Situation, VIEW_LONGEST},
        core::{Core, SLOT_SCAN_EVERY},
        event::{Asker, Outcome, Scope},
        lease::Use,
        shard::{self, Name},
        slot::LOAD_LONGEST,
    },
    kernel::{clock::Time, id::Upstream},
};

impl Core {
    /// Decides for each engine of the shards that are validly held.
    pub(super) fn command(&mut self, now: Time, outcomes: &mut Vec<Outcome>) {
        let mut waiting = Vec::new();
        let known = now.since(self.viewed) <= VIEW_LONGEST;
        for (upstream, charge) in &mut self.charges {
            let lease = self.leases.get(&charge.shard);
            let Some(tenure) = lease.and_then(|it| it.valid(now)) else {
                continue;
            };
            let slot = self.slots.iter().find(|(_, it)| it.upstream == *upstream);
            let slot = slot.filter(|(_, it)| it.is_ready(now)).map(|it| *it.0);
            let load = slot.and_then(|name| self.leases.get(&name)?.valid(now));
            let action = charge.decide(&Situation {
                now,
                tenure,
                goal: self.plan.goal(upstream),
                settled: self.settled.get(&charge.engine.model).copied().filter(|_| known),
                census: &self.census,
                slot: load.is_some(),
            });
            charge.start(now, &action);
            match action {
                Action::Wait => (),
                Action::NeedSlot => waiting.push(upstream.clone()),
                Action::Read => outcomes.push(Outcome::Read {
                    asker: Asker::Charge,
                    upstream: upstream.clone(),
                    address: charge.engine.address,
                }),
                Action::Send { order, loads } => {
                    let mut valid_until = tenure.valid_until.min(now + SEND_WITHIN);
                    if loads && let Some(load) = load {
                        valid_until = valid_until.min(load.valid_until);
                    }
                    if loads && let Some(slot) = slot.and_then(|it| self.slots.get_mut(&it)) {
                        slot.start(now, charge.incarnation());
                    }
                    outcomes.push(Outcome::Order {
                        upstream: upstream.clone(),
                        address: charge.engine.address,
                        order,
                        loads,
                        valid_until,
                    });
                }
            }
        }
        self.take_slots(now, waiting, outcomes);
    }

    /// Takes free load leases for engines that wait for one.
    fn take_slots(&mut self, now: Time, waiting: Vec<Upstream>, outcomes: &mut Vec<Outcome>) {
        let mut short = false;
        for upstream in waiting {
            let has = self.slots.values().any(|it| it.upstream == upstream);
            if has || self.stopping || self.is_asking(&upstream) {
                continue;
            }
            let Some(charge) = self.charges.get(&upstream) else {
                continue;
            };
            let mut leases = self.leases.iter_mut();
            let free = leases.find(|(name, it)| matches!(name, Name::Load(_)) && it.is_open(now));
            let Some((name, lease)) = free else {
                short = true;
                break;
            };
            let usage = Use { upstream, address: charge.engine.address };
            outcomes
                .push(Outcome::Write { name: *name, transaction: lease.take(now, Some(usage)) });
        }
        if short && !self.scanning && now >= self.slot_scan_at {
            self.slot_scan_at = now + SLOT_SCAN_EVERY;
            self.scanning = true;
            outcomes.push(Outcome::Scan(Scope::Loads));
        }
    }

    fn is_asking(&self, upstream: &Upstream) -> bool {
        let mut leases = self.leases.values();
        leases.any(|it| it.asks_for() == Some(upstream))
    }

    /// Probes engines of earlier holders, and gives up load leases whose load has ended.
    pub(super) fn tend_slots(&mut self, now: Time, outcomes: &mut Vec<Outcome>) {
        let names: Vec<_> = self.slots.keys().copied().collect();
        for name in names {
            let Some(slot) = self.slots.get_mut(&name) else {
                continue;
            };
            if let Some(usage) = slot.probe(now) {
                outcomes.push(Outcome::Read {
                    asker: Asker::Slot,
                    upstream: usage.upstream,
                    address: usage.address,
                });
            }
            let upstream = slot.upstream.clone();
            let used = slot.used();
            if !self.is_done(&name, now) {
                self.poll(now, &upstream, used, outcomes);
                continue;
            }
            let Some(lease) = self.leases.get_mut(&name) else {
                continue;
            };
            if let Some(transaction) = lease.release(now) {
                outcomes.push(Outcome::Write { name, transaction });
                self.slots.remove(&name);
            }
        }
    }

    fn is_done(&self, name: &Name, now: Time) -> bool {
        let Some(slot) = self.slots.get(name) else {
            return false;
        };
        let charge = self.charges.get(&slot.upstream);
        match slot.used() {
            Some(used) => {
                let idle = charge.is_some_and(|it| !it.is_busy() && it.is_idle_since(used));
                idle || now >= used + LOAD_LONGEST
            }
            // Given up earlier, it would be taken at once by a daemon that knows of no load.
            None if !slot.is_ready(now) => false,
            None => charge.is_none() || self.stopping || slot.is_unused(now),
        }
    }

    /// Reads the state of an engine whose load this daemon ordered but that it may not command
    /// any more.
    fn poll(
        &mut self,
        now: Time,
        upstream: &Upstream,
        used: Option<Time>,
        outcomes: &mut Vec<Outcome>,
    ) {
        let shard = Name::Shard(shard::shard(upstream));
        let commanded = self.leases.get(&shard).is_some_and(|it| it.valid(now).is_some());
        let Some(charge) = self.charges.get_mut(upstream) else {
            return;
        };
        if used.is_none() || commanded && charge.engine.open || !charge.may_poll(now) {
            return;
        }
        charge.start(now, &Action::Read);
        outcomes.push(Outcome::Read {
            asker: Asker::Charge,
            upstream: upstream.clone(),
            address: charge.engine.address,
        });
    }
}
