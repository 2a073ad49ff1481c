//! Selection of routes by host name and longest prefix, and of services by weight.

use std::time::Duration;

use clementinearch_policy::routes::{
    Account, CallerLimits, Route, RouteKind, RoutingTable, Target, is_region_allowed,
};

const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16_384,
    max_body_bytes: 1 << 20,
    header_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(5),
    stall_timeout: None,
    idle_timeout: Duration::from_secs(15),
};

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        is_anonymous: false,
        sizes: Vec::new(),
        allowed_regions: Vec::new(),
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

/// Guards against a list that widens the other, and against zones without a mapping that count as in
/// every region.
#[test]
fn a_region_must_be_allowed_by_the_route_and_the_account() {
    let regions = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    let allowed = |of_route: &[&str], of_account: Option<&[&str]>, region: Option<&str>| {
        let route = Route {
            allowed_regions: regions(of_route),
            ..route("r", "a.example", "/", &[])
        };
        let account = of_account.map(|names| Account {
            name: "one".into(),
            priority: None,
            allowed_regions: regions(names),
        });
        is_region_allowed(&route, account.as_ref(), region)
    };
    for account in [None, Some(&[][..])] {
        assert!(allowed(&[], account, None));
        assert!(allowed(&[], account, Some("eu")));
        assert!(allowed(&["eu", "us"], account, Some("us")));
        assert!(!allowed(&["eu"], account, Some("us")));
        assert!(!allowed(&["eu"], account, None), "a zone without a mapping");
    }
    assert!(allowed(&[], Some(&["eu"]), Some("eu")));
    assert!(!allowed(&[], Some(&["eu"]), None));
    assert!(allowed(&["eu", "us"], Some(&["us", "asia"]), Some("us")));
    assert!(!allowed(&["eu", "us"], Some(&["us", "asia"]), Some("eu")));
    assert!(
        !allowed(&["eu"], Some(&["us"]), Some("eu")),
        "no common one"
    );
    assert!(!allowed(&["eu"], None, Some("EU")));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/", &[("s", 1)]),
    ];
    let table = RoutingTable::new(1, routes, Vec::new(), LIMITS);
    let name = |host: &str, path: &str| {
        let route = table.route(host, path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/x").as_deref(), None);
    assert_eq!(name("c.example", "/x/").as_deref(), None);
    assert_eq!(name("b.example", "/anything").as_deref(), Some("other"));
}

#[test]
fn requests_are_split_by_weight() {
    let split = route("split", "a.example", "/", &[("big", 9), ("small", 1)]);
    let to_small = (0..1_000)
        .filter(|point| &**split.service_at(*point).unwrap() == "small")
        .count();
    assert_eq!(to_small, 100);
}

#[test]
fn the_kind_determines_whether_requests_may_be_retried() {
    assert!(RouteKind::Idempotent.may_retry());
    assert!(RouteKind::Stream { resumable: true }.may_retry());
    assert!(!RouteKind::Stream { resumable: false }.may_retry());
    assert!(!RouteKind::NonIdempotent.may_retry());
}
