use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tealturn::{
    gateway::{
        call::Prompt,
        document::KvStore,
        gauge::Outcomes,
        message::Load,
        peer::Totals,
        place::{self, Choice, Placer, Query, Source},
        rollout::{self, Progress, Target},
        room::engine::{Engines, Room},
        roster::{Endpoint, Record, Roster},
    },
    kernel::{
        clock::Time,
        id::{Build, Model, Service, Version, Zone},
    },
};

use crate::scene::{MODEL, SERVICE, engines, name, prompt, record};

const START: Time = Time::from_millis(100_000);
const CAPACITY: u64 = 115_000;
const RUNNING_LIMIT: u64 = CAPACITY / 2;

/// Prompt tokens that an engine reads in a millisecond.
const RATE: f64 = 45.0;

fn placer() -> Placer {
    Placer::new(RATE, Zone::from("a"))
}

fn query<'a>(prompt: &'a Prompt, peers: &'a Totals) -> Query<'a> {
    Query {
        prompt: Some(prompt),
        cache_owner: 0,
        is_isolated: false,
        excluded: &[],
        build: None,
        old_version_grace: Duration::from_secs(10),
        running_limit_tokens: RUNNING_LIMIT,
        kv_stores: &[],
        engine_capacity_tokens: CAPACITY,
        room: None,
        peers,
        random: 0,
    }
}

fn query_with_store<'a>(prompt: &'a Prompt, peers: &'a Totals, stores: &'a [KvStore]) -> Query<'a> {
    Query { kv_stores: stores, ..query(prompt, peers) }
}

fn send(placer: &mut Placer, query: &Query<'_>, engines: &[Arc<Endpoint>]) -> Choice {
    let choice = placer.choose(query, engines, &Progress::default(), START).expect("a choice");
    placer.record_send(query, &choice);
    choice
}

#[test]
fn daemons_with_empty_caches_agree_on_evenly_distributed_homes() {
    let engines = engines(&[1; 12]);
    let peers = Totals::default();
    let mut homes: BTreeMap<String, u32> = BTreeMap::new();
    for subject in 100..500 {
        let prompt = prompt(subject, 1);
        let query = query(&prompt, &peers);
        let chosen: Vec<_> = (0..3)
            .map(|_| send(&mut placer(), &query, &engines).endpoint.name.to_string())
            .collect();
        assert!(chosen.iter().all(|it| *it == chosen[0]), "{subject}: {chosen:?}");
        *homes.entry(chosen[0].clone()).or_default() += 1;
    }
    assert_eq!(homes.len(), 12);
    assert!(homes.values().all(|it| (15..=60).contains(it)), "{homes:?}");
}

#[test]
fn calls_with_the_same_prefix_go_to_the_engine_that_holds_it() {
    let engines = engines(&[1; 12]);
    let peers = Totals::default();
    let mut placer = placer();
    let first = prompt(7, 1);
    let home = send(&mut placer, &query(&first, &peers), &engines);
    assert_eq!((home.reason, home.prefix_depth), ("home", (0, 0)));
    let second = prompt(7, 2);
    let again = send(&mut placer, &query(&second, &peers), &engines);
    assert_eq!((again.reason, again.unread_tokens), ("held", 2_890));
    assert_eq!(again.endpoint.name, home.endpoint.name);
}

/// Guards against an overload in which every engine read every prefix again. A frequently used
/// prefix is copied only when its engine is too busy to answer in time, and the copy is fetched.
#[test]
fn a_hot_subject_is_copied_by_fetching_only_when_its_holder_is_busy() {
    let engines = engines(&[1; 12]);
    let mut placer = placer();
    let first = prompt(7, 1);
    let none = Totals::default();
    let home = send(&mut placer, &query(&first, &none), &engines);
    let busy = |tokens| {
        let engine = home.endpoint.hash;
        let share = Load { engine, calls: 3, tokens, memory: 30_000, ..Load::default() };
        Totals::from_iter([(engine, share)])
    };
    let second = prompt(7, 2);
    let stays = send(&mut placer, &query(&second, &busy(6_000)), &engines);
    assert_eq!(stays.endpoint.name, home.endpoint.name);
    let moves = send(&mut placer, &query(&second, &busy(30_000)), &engines);
    assert_ne!(moves.endpoint.name, home.endpoint.name);
    assert_eq!((moves.reason, moves.prefix_depth.1), ("copy", 2));
    let source = moves.source.map(|it| it.address());
    assert_eq!(source, Some(home.endpoint.record.address));
}

#[test]
fn a_prefix_evicted_from_all_engines_is_fetched_from_the_kv_store() {
    let engines = engines(&[1; 3]);
    let peers = Totals::default();
    let mut placer = placer();
    let store = [KvStore { address: ([10, 0, 0, 9], 9_000).into(), capacity_tokens: 2_000_000 }];
    let first = prompt(7, 1);
    let choice = send(&mut placer, &query_with_store(&first, &peers, &store), &engines);
    assert!(choice.save_to.is_some(), "the KV store does not hold the prefix yet");
    for other in 1_000..1_200 {
        let prompt = prompt(other, other);
        send(&mut placer, &query_with_store(&prompt, &peers, &store), &engines);
    }
    let again = prompt(7, 2);
    let choice = send(&mut placer, &query_with_store(&again, &peers, &store), &engines);
    assert!(matches!(choice.source, Some(Source::Store(_))), "{:?}", choice.source);
    assert!(choice.save_to.is_none());
    assert_eq!(choice.unread_tokens, 2_890);
}

fn kv_stores(count: u8) -> Vec<KvStore> {
    let address = |it: u8| ([10, 0, 0, it], 9_000).into();
    (1..=count).map(|it| KvStore { address: address(it), capacity_tokens: 2_000_000 }).collect()
}

/// Guards against all prompts being kept in one of several KV stores, whose capacity and link are then
/// too small for them.
#[test]
fn daemons_agree_on_the_kv_store_of_a_prompt_and_use_all_stores() {
    let engines = engines(&[1; 3]);
    let (peers, stores) = (Totals::default(), kv_stores(3));
    let mut prompts_by_store: BTreeMap<String, u32> = BTreeMap::new();
    for subject in 100..400 {
        let prompt = prompt(subject, 1);
        let query = query_with_store(&prompt, &peers, &stores);
        let chosen: Vec<_> =
            (0..3).map(|_| send(&mut placer(), &query, &engines).save_to).collect();
        let store = chosen[0].expect("a store for a prompt that none holds");
        assert!(chosen.iter().all(|it| *it == Some(store)), "{subject}: {chosen:?}");
        *prompts_by_store.entry(store.address.to_string()).or_default() += 1;
    }
    assert_eq!(prompts_by_store.len(), 3);
    assert!(prompts_by_store.values().all(|it| *it >= 60), "{prompts_by_store:?}");
}

/// Guards against prompts that nobody asks for again displacing others in the KV stores: each subject
/// of an isolated workspace is read by that workspace alone.
#[test]
fn prompts_of_an_isolated_workspace_are_saved_once_they_are_reused() {
    struct Case {
        stores: u8,
        cache_owner: u64,
        /// Whether the store is used for the first prompt, and for the second one.
        uses_store: [bool; 2],
    }
    for case in [
        Case { stores: 3, cache_owner: 0, uses_store: [true, true] },
        Case { stores: 3, cache_owner: 7, uses_store: [false, true] },
        // A single store is used for all prompts.
        Case { stores: 1, cache_owner: 7, uses_store: [true, true] },
    ] {
        let engines = engines(&[1; 2]);
        let (peers, stores) = (Totals::default(), kv_stores(case.stores));
        let mut placer = placer();
        for (index, uses_store) in case.uses_store.into_iter().enumerate() {
            let prompt = prompt(7, index as u64);
            let query = query_with_store(&prompt, &peers, &stores);
            let is_isolated = case.cache_owner != 0;
            let query = Query { cache_owner: case.cache_owner, is_isolated, ..query };
            // The engine that holds the prompt is unavailable the second time, so it is read again.
            let engines = &engines[index..=index];
            let choice = send(&mut placer, &query, engines);
            let fetches = matches!(choice.source, Some(Source::Store(_)));
            let uses = choice.save_to.is_some() || fetches;
            assert_eq!(uses, uses_store, "{} {} {index}", case.stores, case.cache_owner);
        }
    }
}

/// Guards against engines reading prompts that a KV store holds: reports of what was saved take up to
/// 0.85 s, and a daemon that has just started has none.
#[test]
fn an_engine_asks_the_kv_store_for_parts_that_are_not_known_to_be_anywhere() {
    struct Case {
        stores: u8,
        asks_store: bool,
    }
    for case in [
        Case { stores: 0, asks_store: false },
        // With a single store only what is known to be there is fetched.
        Case { stores: 1, asks_store: false },
        Case { stores: 3, asks_store: true },
    ] {
        let engines = engines(&[1; 3]);
        let (peers, stores) = (Totals::default(), kv_stores(case.stores));
        let prompt = prompt(7, 1);
        let choice = send(&mut placer(), &query_with_store(&prompt, &peers, &stores), &engines);
        let asks_store = matches!(choice.source, Some(Source::Store(_)));
        assert_eq!(asks_store, case.asks_store, "{} stores", case.stores);
        assert_eq!(choice.unread_tokens, prompt.tokens, "nothing is known to be held");
    }
}

#[test]
fn running_calls_leave_room_for_cached_prompts() {
    let engines = engines(&[1; 2]);
    let mut placer = placer();
    let prompt = prompt(7, 1);
    let taken = |memory| {
        let share =
            |it: &Arc<Endpoint>| Load { engine: it.hash, calls: 5, memory, ..Load::default() };
        Totals::from_iter(engines.iter().map(|it| (it.hash, share(it))))
    };
    let (some, most) = (taken(RUNNING_LIMIT - 9_200), taken(RUNNING_LIMIT - 9_199));
    send(&mut placer, &query(&prompt, &some), &engines);
    let full = placer.choose(&query(&prompt, &most), &engines, &Progress::default(), START);
    assert_eq!(full.map(|_| ()), Err(place::Error::Full));
    let large = Prompt { tokens: 2 * RUNNING_LIMIT, ..prompt };
    let idle = Totals::default();
    let choice = placer.choose(&query(&large, &idle), &engines, &Progress::default(), START);
    assert!(choice.is_ok(), "an idle engine accepts a call of any size");
}

#[test]
fn superseded_weights_serve_only_within_the_grace_period_and_rank_after_newer_ones() {
    struct Case {
        since_ms: u64,
        versions: &'static [u64],
        chosen: Option<u64>,
    }
    for case in [
        Case { since_ms: 0, versions: &[1, 1], chosen: Some(1) },
        Case { since_ms: 5_000, versions: &[1, 1], chosen: Some(1) },
        Case { since_ms: 5_000, versions: &[1, 2], chosen: Some(2) },
        // An overloaded engine starts a call a second after it was sent (hunted day of Atlas Sceaux).
        Case { since_ms: 8_900, versions: &[1, 1], chosen: None },
        Case { since_ms: 9_400, versions: &[1, 1], chosen: None },
        Case { since_ms: 9_400, versions: &[1, 2], chosen: Some(2) },
    ] {
        let engines = engines(case.versions);
        let mut progress = Progress::default();
        let named = START - Duration::from_millis(case.since_ms);
        let target = Target { version: Version(2), since: named, is_assumed: false };
        progress.set_target(&Model::from(MODEL), target);
        let (prompt, peers) = (prompt(7, 1), Totals::default());
        let choice = placer().choose(&query(&prompt, &peers), &engines, &progress, START);
        let chosen = choice.ok().and_then(|it| it.version).map(|it| it.0);
        assert_eq!(chosen, case.chosen, "{} ms, {:?}", case.since_ms, case.versions);
    }
}

/// An engine with a long queue starts a call later. On a hunted day of Atlas Sceaux, grown, calls
/// that were sent in time began on superseded weights after the grace period.
#[test]
fn superseded_weights_with_a_long_queue_receive_no_calls_earlier() {
    struct Case {
        since_ms: u64,
        queued_ms: f64,
        is_chosen: bool,
    }
    for case in [
        Case { since_ms: 8_000, queued_ms: 0.0, is_chosen: true },
        Case { since_ms: 7_000, queued_ms: 500.0, is_chosen: true },
        Case { since_ms: 7_600, queued_ms: 500.0, is_chosen: false },
        Case { since_ms: 6_000, queued_ms: 1_500.0, is_chosen: false },
    ] {
        let engines = engines(&[1, 1]);
        let mut progress = Progress::default();
        let since = START - Duration::from_millis(case.since_ms);
        let target = Target { version: Version(2), since, is_assumed: false };
        progress.set_target(&Model::from(MODEL), target);
        let tokens = (case.queued_ms * RATE) as u64;
        let load = |it: &Arc<Endpoint>| Load { engine: it.hash, tokens, ..Load::default() };
        let peers = Totals::from_iter(engines.iter().map(|it| (it.hash, load(it))));
        let prompt = prompt(7, 1);
        let choice = placer().choose(&query(&prompt, &peers), &engines, &progress, START);
        assert_eq!(choice.is_ok(), case.is_chosen, "{} ms, {}", case.since_ms, case.queued_ms);
    }
}

#[test]
fn loading_and_dead_engines_receive_no_calls() {
    let engines = engines(&[1; 2]);
    let (prompt, peers) = (prompt(7, 1), Totals::default());
    let mut progress = Progress::default();
    let loading = rollout::Status {
        engine: engines[0].name.clone(),
        incarnation: engines[0].record.incarnation,
        version: Version(2),
        stage: rollout::Stage::Loading,
    };
    progress.update_statuses(
        &Model::from(MODEL),
        1,
        &rollout::Statuses { revision: 1, marks: vec![loading] },
    );
    let choice = placer().choose(&query(&prompt, &peers), &engines, &progress, START);
    assert_eq!(choice.expect("a choice").endpoint.name, engines[1].name);
    engines[1].health.mark_dead(START);
    let choice = placer().choose(&query(&prompt, &peers), &engines, &progress, START);
    assert_eq!(choice.map(|_| ()), Err(place::Error::Closed));
    let none = placer().choose(&query(&prompt, &peers), &[], &progress, START);
    assert_eq!(none.map(|_| ()), Err(place::Error::None));
}

#[test]
fn isolated_workspaces_never_share_a_cached_prompt() {
    let engines = engines(&[1; 3]);
    let peers = Totals::default();
    let mut placer = placer();
    let prompt = prompt(7, 1);
    let query = query(&prompt, &peers);
    send(&mut placer, &query, &engines);
    let other = Query { cache_owner: 99, ..query };
    let choice = placer.choose(&other, &engines, &Progress::default(), START).expect("a choice");
    assert_eq!(choice.prefix_depth, (0, 0));
}

/// Records alternating successes and failures, so that three failures never occur in a row.
fn fail_every_other(engine: &Endpoint) {
    for _ in 0..4 {
        engine.health.record_success(START);
        engine.health.record_failure(START);
    }
}

#[test]
fn an_engine_that_fails_a_part_of_its_calls_is_left_while_others_do_better() {
    let engines = engines(&[1; 12]);
    let peers = Totals::default();
    let mut placer = placer();
    let prompt = prompt(7, 1);
    let query = query(&prompt, &peers);
    let home = send(&mut placer, &query, &engines);
    fail_every_other(&home.endpoint);
    let other = send(&mut placer, &query, &engines);
    assert_ne!(other.endpoint.name, home.endpoint.name);
    assert_eq!(other.reason, "home", "the prefix should get another home");
    let source = other.source.expect("the first home still holds the prefix");
    assert_eq!(source.address(), home.endpoint.record.address);
    let later = START + Duration::from_secs(20);
    let again = placer.choose(&query, &engines[..], &Progress::default(), later);
    assert_ne!(again.expect("a choice").reason, "copy", "old failures should not cause a copy");

    for engine in &engines {
        fail_every_other(engine);
    }
    let all = send(&mut placer, &query, &engines);
    assert_eq!(all.reason, "held", "with equal failure rates, the cached prefix should decide");
}

#[test]
fn what_other_daemons_see_fail_counts_too() {
    let engines = engines(&[1; 12]);
    let (none, prompt) = (Totals::default(), prompt(7, 1));
    let mut placer = placer();
    let home = send(&mut placer, &query(&prompt, &none), &engines);
    let hash = home.endpoint.hash;
    let outcomes = Outcomes { calls: 20.0, failures: 8.0 };
    let peers = Totals::from_iter([(hash, Load { engine: hash, outcomes, ..Load::default() })]);
    let other = send(&mut placer, &query(&prompt, &peers), &engines);
    assert_ne!(
        other.endpoint.name, home.endpoint.name,
        "failures that other daemons observed should count"
    );
    // Successful calls of other daemons do not mask failures of this daemon's own calls.
    fail_every_other(&home.endpoint);
    let outcomes = Outcomes { calls: 200.0, failures: 0.0 };
    let peers = Totals::from_iter([(hash, Load { engine: hash, outcomes, ..Load::default() })]);
    let other = send(&mut placer, &query(&prompt, &peers), &engines);
    assert_ne!(other.endpoint.name, home.endpoint.name);
}

#[test]
fn plain_calls_avoid_an_upstream_that_fails_more_than_the_others() {
    let pages = engines(&[1; 3]);
    let peers = Totals::default();
    let prompt = prompt(7, 1);
    fail_every_other(&pages[1]);
    let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
    for random in 0..100 {
        let query = Query { prompt: None, random, ..query(&prompt, &peers) };
        let choice = placer().choose(&query, &pages, &Progress::default(), START);
        *chosen.entry(choice.expect("a choice").endpoint.name.to_string()).or_default() += 1;
    }
    assert!(!chosen.contains_key(pages[1].name.as_str()), "{chosen:?}");
    for page in &pages {
        fail_every_other(page);
    }
    let query = Query { prompt: None, ..query(&prompt, &peers) };
    assert!(placer().choose(&query, &pages, &Progress::default(), START).is_ok());
}

/// Guards against calls that an upstream of a plain service rejects because it already queues as many
/// as it can, and against refusals where calls are not queued by this daemon.
#[test]
fn plain_calls_wait_for_an_upstream_only_where_they_are_queued() {
    struct Case {
        name: &'static str,
        /// Calls that other daemons have at each upstream, and the limit on them.
        calls: [u32; 2],
        is_queued: bool,
        chosen: std::result::Result<usize, place::Error>,
    }
    let cases = [
        Case { name: "one is full", calls: [30, 12], is_queued: true, chosen: Ok(1) },
        Case {
            name: "all are full",
            calls: [30, 31],
            is_queued: true,
            chosen: Err(place::Error::Full),
        },
        Case { name: "all are full, no queue", calls: [130, 131], is_queued: false, chosen: Ok(0) },
    ];
    let (pages, prompt, known) = (engines(&[1; 2]), prompt(7, 1), Engines::default());
    for case in cases {
        let load = |it: usize| Load { calls: case.calls[it], ..Load::default() };
        let peers: Totals = (0..2).map(|it| (pages[it].hash, load(it))).collect();
        let room = Room { engines: &known, capacity_tokens: u64::MAX, spared: None, now: START };
        let query = Query {
            prompt: None,
            running_limit_tokens: 30,
            room: case.is_queued.then_some(room),
            ..query(&prompt, &peers)
        };
        let choice = placer().choose(&query, &pages, &Progress::default(), START);
        let index = |it: Choice| pages.iter().position(|page| page.name == it.endpoint.name);
        let chosen = choice.map(|it| index(it).expect("one of the upstreams"));
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// Callers were told to come back long before an upstream takes calls again, or long after.
#[test]
fn the_end_of_the_first_pause_is_known_if_all_that_stay_are_paused() {
    struct Case {
        what: &'static str,
        pauses_s: &'static [u64],
        leaving: usize,
        end_s: Option<u64>,
    }
    for case in [
        Case { what: "none registered", pauses_s: &[], leaving: 0, end_s: None },
        Case { what: "one not paused", pauses_s: &[0, 3], leaving: 0, end_s: None },
        Case { what: "all paused", pauses_s: &[4, 2, 3], leaving: 0, end_s: Some(2) },
        Case { what: "one leaves", pauses_s: &[0, 4, 2], leaving: 1, end_s: Some(2) },
        Case { what: "all leave", pauses_s: &[4, 4], leaving: 2, end_s: None },
    ] {
        let engines = engines(&vec![1; case.pauses_s.len()]);
        for (engine, pause) in engines.iter().zip(case.pauses_s) {
            engine.health.record_pause(Duration::from_secs(*pause), START);
        }
        for engine in &engines[..case.leaving] {
            engine.health.record_leaving();
        }
        let end = place::pause_end(&engines, START);
        let expected = case.end_s.map(|it| START + Duration::from_secs(it));
        assert_eq!(end, expected, "{}", case.what);
    }
}

#[test]
fn a_paused_or_leaving_engine_is_not_chosen_even_if_it_holds_the_prefix() {
    let engines = engines(&[1; 3]);
    let peers = Totals::default();
    let mut placer = placer();
    let prompt = prompt(7, 1);
    let query = query(&prompt, &peers);
    let held = send(&mut placer, &query, &engines).endpoint;
    held.health.record_pause(Duration::from_secs(1), START);
    let other = send(&mut placer, &query, &engines).endpoint;
    assert_ne!(other.name, held.name);
    other.health.record_leaving();
    let last = send(&mut placer, &query, &engines).endpoint;
    assert!(last.name != held.name && last.name != other.name);
    last.health.record_leaving();
    let choice = placer.choose(&query, &engines, &Progress::default(), START);
    assert_eq!(choice.map(|_| ()), Err(place::Error::Closed));
}

/// An upstream of another build would write events that don't fit those which the caller has
/// (docs/incidents/cascade-14ac.md).
#[test]
fn a_stream_is_continued_only_by_upstreams_of_the_build_that_began_it() {
    let mut roster = Roster::default();
    for number in 0..30 {
        let build = Build::from(if number % 10 == 7 { "v1" } else { "v2" });
        roster.insert(&name(number), Record { build, ..record(number, 1) });
    }
    let engines = roster.view().service(&Service::from(SERVICE)).to_vec();
    let peers = Totals::default();
    let any = prompt(7, 1);
    let (first, absent) = (Build::from("v1"), Build::from("v3"));
    for subject in 0..100 {
        let prompt = prompt(subject, 1);
        for prompt in [Some(&prompt), None] {
            let query = Query { prompt, random: subject, ..query(&any, &peers) };
            let choose = |build| {
                let query = Query { build, ..query };
                placer().choose(&query, &engines, &Progress::default(), START)
            };
            let choice = choose(Some(&first)).expect("a choice");
            assert_eq!(choice.endpoint.record.build, first);
            assert_eq!(choose(Some(&absent)).map(|_| ()), Err(place::Error::Closed));
            assert!(choose(None).is_ok());
        }
    }
}

/// A call to an upstream that gave no permit would exceed its limit.
#[test]
fn an_upstream_that_gave_no_permit_is_left_out_until_it_may_be_asked_again() {
    let peers = Totals::default();
    let prompt = prompt(7, 1);
    for is_plain in [false, true] {
        let all = engines(&[1; 2]);
        let query = Query { prompt: (!is_plain).then_some(&prompt), ..query(&prompt, &peers) };
        let choose = |at| {
            let choice = placer().choose(&query, &all, &Progress::default(), at);
            choice.map(|it| it.endpoint.name.clone())
        };
        all[0].health.await_permit(START + Duration::from_secs(3));
        assert_eq!(choose(START), Ok(all[1].name.clone()));
        all[1].health.await_permit(START + Duration::from_secs(2));
        let first = START + Duration::from_secs(2);
        assert_eq!(choose(START), Err(place::Error::Limited(first)));
        assert_eq!(choose(first), Ok(all[1].name.clone()));
        all[1].health.record_pause(Duration::from_secs(9), START);
        let until = START + Duration::from_secs(3);
        assert_eq!(choose(START), Err(place::Error::Limited(until)), "the other one is paused");
    }
}
