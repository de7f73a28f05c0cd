//! Unit tests of the gateway's decision logic.

#[path = "gateway/brittle.rs"]
mod brittle;
#[path = "gateway/budget.rs"]
mod budget;
#[path = "gateway/cache.rs"]
mod cache;
#[path = "gateway/claim.rs"]
mod claim;
#[path = "gateway/claim_random.rs"]
mod claim_random;
#[path = "gateway/crash.rs"]
mod crash;
#[path = "gateway/crashing.rs"]
mod crashing;
#[path = "gateway/document.rs"]
mod document;
#[path = "gateway/fetch.rs"]
mod fetch;
#[path = "gateway/freshness.rs"]
mod freshness;
#[path = "gateway/gauge.rs"]
mod gauge;
#[path = "gateway/large_document.rs"]
mod large_document;
#[path = "gateway/ledger.rs"]
mod ledger;
#[path = "gateway/limit.rs"]
mod limit;
#[path = "gateway/link.rs"]
mod link;
#[path = "gateway/memory.rs"]
mod memory;
#[path = "gateway/message.rs"]
mod message;
#[path = "gateway/mirror.rs"]
mod mirror;
#[path = "gateway/origin.rs"]
mod origin;
#[path = "gateway/peer.rs"]
mod peer;
#[path = "gateway/permit.rs"]
mod permit;
#[path = "gateway/place.rs"]
mod place;
#[path = "gateway/quota.rs"]
mod quota;
#[path = "gateway/quota_random.rs"]
mod quota_random;
#[path = "gateway/quota_scene.rs"]
mod quota_scene;
#[path = "gateway/reach.rs"]
mod reach;
#[path = "gateway/resumption.rs"]
mod resumption;
#[path = "gateway/rollout.rs"]
mod rollout;
#[path = "gateway/room.rs"]
mod room;
#[path = "gateway/roster.rs"]
mod roster;
#[path = "gateway/rows.rs"]
mod rows;
#[path = "gateway/salt.rs"]
mod salt;
#[path = "gateway/scene.rs"]
mod scene;
#[path = "gateway/shutdown.rs"]
mod shutdown;
#[path = "gateway/simulation.rs"]
mod simulation;
#[path = "gateway/stale.rs"]
mod stale;
#[path = "gateway/stall.rs"]
mod stall;
#[path = "gateway/stream.rs"]
mod stream;
#[path = "gateway/topology.rs"]
mod topology;
#[path = "gateway/tree.rs"]
mod tree;
#[path = "gateway/upgrade.rs"]
mod upgrade;
#[path = "gateway/wire.rs"]
mod wire;
#[path = "gateway/wire_samples.rs"]
mod wire_samples;
