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
    let tenant = Tenant {
        workspace: Workspace::from("clinic"),
        priority: Some(0),
        isolated: true,
        quota: None,
    };
    document::Parts {
        version: 7,
        routes,
        services: Vec::new(),
        limits: Limits {
            body_bytes: 4_194_304,
            header_bytes: 16_384,
            idle: Duration::from_secs(15),
        },
        tenants: Some(vec![(tenant, vec!["key-1".to_owned(), "key-2".to_owned()])]),
    }
}

/// Guards against an open door once the last workspace is taken away, and against a closed one where
/// calls never needed keys (issue 51, case 3).
#[test]
fn a_document_without_any_workspace_accepts_no_key_and_one_without_the_list_needs_none() {
    struct Case {
        name: &'static str,
        tenants: Option<Vec<(Tenant, Vec<String>)>>,
        needs_key: bool,
        accepts: bool,
    }
    let given = parts(Vec::new()).tenants;
    let keyless = given.clone().map(|it| it.into_iter().map(|(it, _)| (it, Vec::new())).collect());
    for case in [
        Case { name: "a workspace", tenants: given, needs_key: true, accepts: true },
        Case { name: "one without keys", tenants: keyless, needs_key: true, accepts: false },
        Case { name: "no workspace", tenants: Some(Vec::new()), needs_key: true, accepts: false },
        Case { name: "no list", tenants: None, needs_key: false, accepts: false },
    ] {
        let routes = vec![route("keyed", "/wiki/")];
        let parts = document::Parts { tenants: case.tenants, ..parts(routes) };
        let document = Document::new(parts).expect("valid");
        let route = document.route("wiki.example", "/wiki/x").expect("a route");
        assert_eq!(document.needs_key(route), case.needs_key, "{}", case.name);
        assert_eq!(document.tenant("key-1").is_some(), case.accepts, "{}", case.name);
    }
}

/// Guards against orders to upstreams of services that the document doesn't have.
#[test]
fn a_document_without_settings_of_services_has_those_of_its_routes_only() {
    let document = Document::new(parts(vec![route("any", "/wiki/")])).expect("valid");
    let has = |name: &str| document.has_service(&Service::from(name));
    assert!(has("old") && has("new") && !has("other"));
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

/// Guards against a queue of calls in deployments whose routes to each service have one priority.
#[test]
fn services_whose_routes_differ_in_priority_have_a_queue() {
    struct Case {
        name: &'static str,
        /// Priority and backends with their weights of each route.
        routes: &'static [(u8, &'static [(&'static str, u32)])],
        prioritised: &'static [&'static str],
    }
    let cases = [
        Case { name: "one route", routes: &[(0, &[("a", 1)])], prioritised: &[] },
        Case {
            name: "equal priorities",
            routes: &[(1, &[("a", 1)]), (1, &[("a", 1)])],
            prioritised: &[],
        },
        Case {
            name: "different services",
            routes: &[(0, &[("a", 1)]), (1, &[("b", 1)])],
            prioritised: &[],
        },
        Case {
            name: "no calls go to the shared service",
            routes: &[(0, &[("a", 1)]), (1, &[("b", 1), ("a", 0)])],
            prioritised: &[],
        },
        Case {
            name: "one shared service",
            routes: &[(0, &[("a", 1)]), (2, &[("a", 1), ("b", 1)]), (2, &[("b", 1)])],
            prioritised: &["a"],
        },
    ];
    for case in cases {
        let mut routes = Vec::new();
        for (priority, backends) in case.routes {
            let backends = backends.iter().map(|(name, weight)| (Service::from(*name), *weight));
            routes.push(Route {
                priority: *priority,
                backends: backends.collect(),
                ..route("any", "/wiki/")
            });
        }
        let document = Document::new(parts(routes)).expect("a valid document");
        let mut found = vec!["a", "b"];
        found.retain(|it| document.is_prioritised(&Service::from(*it)));
        assert_eq!(found, case.prioritised, "{}", case.name);
    }
}
