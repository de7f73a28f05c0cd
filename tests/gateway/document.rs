use std::time::Duration;

use tealturn::{
    gateway::document::{self, Document, Limits, Route, Tenant},
    kernel::id::{Service, Workspace},
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "Wiki.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: document::Kind::Repeatable,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        backends: vec![(Service::from("old"), 90), (Service::from("new"), 10)],
        max_attempts: 2,
        public: false,
    }
}

fn parts(routes: Vec<Route>) -> document::Parts {
    let tenant = Tenant { workspace: Workspace::from("clinic"), priority: Some(0), isolated: true };
    document::Parts {
        version: 7,
        routes,
        services: Vec::new(),
        limits: Limits {
            body_bytes: 4_194_304,
            header_bytes: 16_384,
            idle: Duration::from_secs(15),
        },
        tenants: vec![(tenant, vec!["key-1".to_owned(), "key-2".to_owned()])],
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let routes = vec![route("short", "/wiki/"), route("long", "/wiki/page/")];
    let document = Document::new(parts(routes)).expect("a valid document");
    for case in [
        Case { host: "wiki.example", path: "/wiki/x", route: Some("short") },
        Case { host: "wiki.example", path: "/wiki/page/x", route: Some("long") },
        Case { host: "WIKI.example", path: "/wiki/page/", route: Some("long") },
        Case { host: "wiki.example", path: "/wiki", route: None },
        Case { host: "wiki.example", path: "/wikipage/x", route: None },
        Case { host: "other.example", path: "/wiki/x", route: None },
    ] {
        let found = document.route(case.host, case.path).map(|it| it.name.as_str());
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

#[test]
fn keys_belong_to_workspaces_and_public_routes_need_none() {
    let public = Route { public: true, ..route("public", "/open/") };
    let document = Document::new(parts(vec![route("keyed", "/wiki/"), public])).expect("valid");
    let keyed = document.route("wiki.example", "/wiki/x").expect("a route");
    let public = document.route("wiki.example", "/open/x").expect("a route");
    assert!(document.needs_key(keyed) && !document.needs_key(public));
    let tenant = document.tenant("key-2").expect("a workspace");
    assert_eq!(tenant.workspace.as_str(), "clinic");
    assert!(document.tenant("key-3").is_none());
}

/// Guards against a preference between calls where a service's calls have equal objectives.
#[test]
fn only_services_with_different_routes_have_different_objectives() {
    let tight = Duration::from_millis(50);
    struct Case {
        second: Route,
        differs: [bool; 2],
    }
    let new = || vec![(Service::from("new"), 1)];
    for (number, case) in [
        Case { second: route("b", "/b/"), differs: [false, false] },
        Case {
            second: Route { latency_objective: tight, ..route("b", "/b/") },
            differs: [true, true],
        },
        Case { second: Route { priority: 2, ..route("b", "/b/") }, differs: [true, true] },
        Case {
            second: Route { priority: 2, backends: new(), ..route("b", "/b/") },
            differs: [false, true],
        },
        Case {
            second: Route {
                priority: 2,
                backends: vec![(Service::from("old"), 0), (Service::from("new"), 1)],
                ..route("b", "/b/")
            },
            differs: [false, true],
        },
    ]
    .into_iter()
    .enumerate()
    {
        let document = Document::new(parts(vec![route("a", "/a/"), case.second])).expect("valid");
        let found = ["old", "new"].map(|it| document.has_different_objectives(&Service::from(it)));
        assert_eq!(found, case.differs, "case {number}");
    }
}

#[test]
fn documents_with_invalid_routes_are_rejected() {
    let no_slash = Document::new(parts(vec![route("bad", "/wiki")])).map(|_| ());
    assert_eq!(no_slash, Err(document::Error::InvalidPrefix("bad".to_owned())));
    let no_backends = Route { backends: Vec::new(), ..route("no_backends", "/wiki/") };
    let no_backends = Document::new(parts(vec![no_backends])).map(|_| ());
    assert_eq!(no_backends, Err(document::Error::NoBackends("no_backends".to_owned())));
}

#[test]
fn calls_are_distributed_by_weight() {
    let route = route("split", "/wiki/");
    let new = (0..1_000).filter(|it| route.service(*it).as_str() == "new").count();
    assert_eq!(new, 100);
}
