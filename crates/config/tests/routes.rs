//! Look-ups of the route table against a linear search.

use lanegate_config::configuration::{Configuration, Document, Route};
use lanegate_config::routes::RouteTable;
use proptest::prelude::*;
use std::sync::Arc;

fn configuration(routes: &[(String, String)]) -> Arc<Configuration> {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (host, prefix))| {
            format!(
                r#"{{"Name":"{index}","Hostname":"{host}","PathPrefix":"{prefix}","TimeoutMs":1,"Backend":"b"}}"#
            )
        })
        .collect();
    let text = format!(r#"{{"Version":1,"Routes":[{}],"Backends":[{{"Name":"b"}}]}}"#, routes.join(","));
    Document::parse(text).unwrap().configuration().clone()
}

fn linear_lookup<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Route> {
    let routes = configuration.routes.iter();
    let matching = routes
        .filter(|route| route.hostname.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix));
    matching.max_by_key(|route| route.path_prefix.len())
}

fn hosts() -> impl Strategy<Value = String> {
    "[aA]\\.[bB]{1,2}"
}

fn paths() -> impl Strategy<Value = String> {
    "/([ab%é]{0,2}/){0,3}"
}

proptest! {
    #[test]
    fn lookup_matches_linear_search(
        mut routes in prop::collection::vec((hosts(), paths()), 0..20),
        host in hosts(),
        path in "/([ab%é]{0,2}/){0,4}[ab]{0,2}",
    ) {
        routes.sort_by_key(|(host, prefix)| (host.to_ascii_lowercase(), prefix.clone()));
        routes.dedup_by_key(|(host, prefix)| (host.to_ascii_lowercase(), prefix.clone()));
        let configuration = configuration(&routes);
        let table = RouteTable::new(configuration.clone());
        let expected = linear_lookup(&configuration, &host, &path).map(|route| &route.name);
        prop_assert_eq!(table.lookup(&host, &path).map(|route| &route.name), expected);
    }
}

#[test]
fn paths_are_compared_without_normalization() {
    let routes = [("a".to_owned(), "/x/".to_owned())];
    let table = RouteTable::new(configuration(&routes));
    assert!(table.lookup("a", "/x/?q=/y/").is_some());
    for path in ["/%78/", "//x/", "/X/", "/x", "/./x/", "x/", ""] {
        assert!(table.lookup("a", path).is_none(), "{path}");
    }
}

#[test]
fn overlong_hosts_have_no_route() {
    let routes = [("a".to_owned(), "/".to_owned())];
    let table = RouteTable::new(configuration(&routes));
    assert!(table.lookup(&"A".repeat(10_000), "/").is_none());
}

#[test]
fn services_are_found_by_name() {
    let table = RouteTable::new(configuration(&[]));
    assert_eq!(table.backend("b").unwrap().name, "b");
    assert!(table.backend("c").is_none());
}
