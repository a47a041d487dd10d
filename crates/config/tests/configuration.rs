//! The configuration document: preserved text, parsing, validation, patches.

use lanegate_config::configuration::{Document, RouteType, warnings};
use lanegate_config::findings::Findings;

const COMPLETE: &str = r#"{"Version":7,"Note":{"b":1,"a":[2.50]},
"Routes":[
 {"Name":"r1","Hostname":"a.example","PathPrefix":"/x/","RouteType":"streaming","TimeoutMs":6000,"TargetMs":1500,"Priority":0,"Backend":"b1","MaxAttempts":2,"Sticky":true,"Resumable":true,"gap_aim_ms":400},
 {"Name":"r2","Hostname":"a.example","PathPrefix":"/y/","RouteType":"idempotent","TimeoutMs":5000.5,"TrafficSplit":[{"Backend":"b1","Weight":90},{"Backend":"b2","Weight":10}]}],
"Backends":[
 {"Name":"b1","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Runtime":{"Capacity":64,"KvCacheTokens":233278,"LinkMbps":1100000.0,"stride":5,"Models":[{"Name":"m1","WeightsMb":65099.99999999999,"LoadTimeS":0.6,"Adapters":31,"AdapterSizeMb":12.0}],"WeightsMb":220000.0,"MaxAdapters":8,"LoadsPerS":2.8}},
 {"Name":"b2"}],
"Limits":{"MaxHeaderBytes":1000,"MaxBodyBytes":2000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

const ROUTE: &str = r#"{"Name":"r","Hostname":"a","PathPrefix":"/p/","TimeoutMs":9,"Backend":"b"}"#;

fn with_routes(routes: &str) -> String {
    format!(r#"{{"Version":1,"Routes":[{routes}],"Backends":[{{"Name":"b"}}]}}"#)
}

fn locations(text: &str) -> Vec<String> {
    let findings = Document::parse(text.to_owned()).unwrap_err();
    findings.iter().map(|finding| finding.location.clone()).collect()
}

fn parse(text: &str) -> Result<Document, Findings> {
    Document::parse(text.to_owned())
}

fn patched(base: &str, patch: &str) -> String {
    let document = parse(base).unwrap().patch(patch.as_bytes()).unwrap();
    String::from_utf8(document.serialize().to_vec()).unwrap()
}

#[test]
fn document_text_is_preserved() {
    assert_eq!(parse(COMPLETE).unwrap().serialize(), COMPLETE);
}

#[test]
fn fields_are_read() {
    let document = parse(COMPLETE).unwrap();
    let configuration = document.configuration();
    assert_eq!(document.version(), 7);
    let route = &configuration.routes[0];
    assert_eq!((route.route_type, route.token_gap_target_ms), (RouteType::Streaming, Some(400.0)));
    assert_eq!((route.max_attempts, route.sticky, route.resumable), (2, true, true));
    let split = &configuration.routes[1];
    assert_eq!((split.timeout_ms, split.max_attempts, split.traffic_split.len()), (5000.5, 1, 2));
    let runtime = configuration.backends[0].runtime.as_ref().unwrap();
    assert_eq!((runtime.capacity, runtime.stride, runtime.max_adapters), (64, Some(5.0), 8));
    assert_eq!(runtime.models[0].weights_mb, 65099.99999999999);
    assert_eq!(configuration.limits.max_header_bytes, 1000);
}

#[test]
fn null_and_float_spellings_are_accepted() {
    let text = with_routes(
        r#"{"Name":"r","Hostname":"a","PathPrefix":"/p/","TimeoutMs":9,"Backend":"b","Priority":2.0,
            "TrafficSplit":null,"MaxAttempts":null,"Sticky":null,"gap_aim_ms":null,"RouteType":null}"#,
    );
    let document = parse(&text).unwrap();
    let route = &document.configuration().routes[0];
    assert_eq!((route.priority, route.max_attempts), (2, 1));
    assert_eq!(route.route_type, RouteType::NonIdempotent);
    let document = parse(r#"{"Version":3.0,"Routes":null,"Limits":null}"#).unwrap();
    assert_eq!(document.version(), 3);
    assert_eq!(document.configuration().limits.max_body_bytes, 4 * 1024 * 1024);
}

#[test]
fn unparsable_document_is_rejected() {
    for text in ["", "{", "[]", "null", "7", &COMPLETE[..COMPLETE.len() - 1], r#"{"Version":1} {}"#] {
        assert_eq!(locations(text), [""], "{text}");
    }
    assert_eq!(locations("{}"), ["Version"]);
    assert_eq!(locations(r#"{"Version":-1}"#), ["Version"]);
    assert_eq!(locations(r#"{"Version":"2"}"#), ["Version"]);
    assert_eq!(locations(r#"{"Version":2.5}"#), ["Version"]);
    assert_eq!(locations(r#"{"Version":2,"Routes":{}}"#), ["Routes"]);
    assert!(Document::parse(b"{\"Version\":1,\"a\":\"\xff\"}".to_vec()).is_err());
}

#[test]
fn arrays_instead_of_objects_are_rejected() {
    assert_eq!(locations("[1]"), [""]);
    assert_eq!(locations(&with_routes(r#"["r","a","/p/","idempotent",9,0,0,"b"]"#)), ["Routes[0]"]);
    assert_eq!(locations(r#"{"Version":1,"Limits":[1,2]}"#), ["Limits"]);
    assert_eq!(
        locations(r#"{"Version":1,"Backends":[{"Name":"b","Runtime":[1,2]}]}"#),
        ["Backends[0].Runtime"]
    );
    assert_eq!(locations(r#"{"Version":null}"#), ["Version"]);
}

#[test]
fn last_of_duplicate_members_wins() {
    let document = parse(r#"{"Version":1,"Limits":{"MaxBodyBytes":1},"Version":2,"Limits":null}"#).unwrap();
    assert_eq!(document.version(), 2);
    assert_eq!(document.configuration().limits.max_body_bytes, 4 * 1024 * 1024);
}

#[test]
fn ill_typed_fields_are_reported_with_location() {
    let text = COMPLETE.replace("\"LoadTimeS\":0.6", "\"LoadTimeS\":\"x\"").replace("5000.5", "true");
    assert_eq!(locations(&text), ["Backends[0].Runtime.Models[0].LoadTimeS", "Routes[1].TimeoutMs"]);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = with_routes(
        r#"{"Name":"r1","Hostname":"a","PathPrefix":"/p/","TimeoutMs":9,"Backend":"c"},
           {"Name":"r2","Hostname":"A","PathPrefix":"/p/","TimeoutMs":9,"Backend":"b"},
           {"Name":"r3","Hostname":"a","PathPrefix":"/q/","TimeoutMs":9,"TrafficSplit":[{"Backend":"b","Weight":0}]},
           {"Name":"r4","Hostname":"a","PathPrefix":"/r/","TimeoutMs":0,"Backend":"b"},
           {"Name":"r5","Hostname":"a","PathPrefix":"/s/","TimeoutMs":9,
            "TrafficSplit":[{"Backend":"b","Weight":1},{"Backend":"d","Weight":1}]},
           {"Name":"r6","Hostname":"a","PathPrefix":"/t/","TimeoutMs":9}"#,
    );
    let expected = [
        "Routes[0].Backend",
        "Routes[1].PathPrefix",
        "Routes[2].TrafficSplit",
        "Routes[3].TimeoutMs",
        "Routes[4].TrafficSplit[1].Backend",
        "Routes[5]",
    ];
    assert_eq!(locations(&text), expected);
    let findings = parse(&text).unwrap_err().to_string();
    assert!(findings.contains("Routes[0].Backend: unknown service \"c\"\n"), "{findings}");
}

#[test]
fn invalid_service_still_counts_as_defined() {
    let text = with_routes(ROUTE).replace(r#"{"Name":"b"}"#, r#"{"Name":"b","MaxConns":"x"}"#);
    assert_eq!(locations(&text), ["Backends[0].MaxConns"]);
}

#[test]
fn warnings_do_not_reject_a_document() {
    let text = with_routes(
        r#"{"Name":"r","Hostname":"a","PathPrefix":"/p","TimeoutMs":9,"Backend":"b"},
           {"Name":"r","Hostname":"","PathPrefix":"/p/","TimeoutMs":9,"Backend":"b",
            "TrafficSplit":[{"Backend":"b","Weight":1}]}"#,
    );
    let document = parse(&text).unwrap();
    let warnings = warnings(document.configuration());
    let locations: Vec<_> = warnings.iter().map(|finding| finding.location.as_str()).collect();
    let expected = ["Routes[1].Name", "Routes[0].PathPrefix", "Routes[1].Hostname", "Routes[1].Backend"];
    assert_eq!(locations, expected);
}

#[test]
fn patch_replaces_appends_and_deletes() {
    let base = r#"{"Version":1,"Extra":1.0,"Routes":[],"Backends":[{"Name":"a"},{"Name":"b"},{"Name":"c"}],"Limits":{}}"#;
    let patch = r#"{"Version":4,"Upsert":{"Backends":[{"Name":"d"},{"Name":"b","MaxConns": 7}]},"Delete":{"Backends":["a","none"]}}"#;
    let expected = r#"{"Version":4,"Extra":1.0,"Routes":[],"Backends":[{"Name":"b","MaxConns": 7},{"Name":"c"},{"Name":"d"}],"Limits":{}}"#;
    assert_eq!(patched(base, patch), expected);
}

#[test]
fn patch_preserves_text_it_does_not_name() {
    let text = patched(COMPLETE, r#"{"Version":9,"Delete":{"Routes":["r2"]}}"#);
    assert!(text.contains(r#""Note":{"b":1,"a":[2.50]}"#));
    assert!(text.contains("65099.99999999999"));
    assert!(text.contains(r#""Protocol":"h1""#));
    assert!(!text.contains("r2"));
}

#[test]
fn patch_may_add_lists_and_replace_limits() {
    let patch =
        r#"{"Version":2,"Upsert":{"Limits":{"MaxBodyBytes":5},"Routes":[],"Backends":[{"Name":"z"}]}}"#;
    let expected = r#"{"Version":2,"Limits":{"MaxBodyBytes":5},"Routes":[],"Backends":[{"Name":"z"}]}"#;
    assert_eq!(patched(r#"{"Version":1}"#, patch), expected);
    assert_eq!(patched(r#"{"Version":1}"#, r#"{"Version":2,"Limits":{}}"#), r#"{"Version":2,"Limits":{}}"#);
    let first = Document::empty().patch(patch.as_bytes()).unwrap();
    assert_eq!(first.configuration().limits.max_body_bytes, 5);
}

#[test]
fn last_of_duplicate_items_wins() {
    let patch = r#"{"Version":2,"Upsert":{"Backends":[{"Name":"a","x":1},{"Name":"a","x":2}]}}"#;
    assert_eq!(patched(r#"{"Version":1}"#, patch), r#"{"Version":2,"Backends":[{"Name":"a","x":2}]}"#);
    let base = r#"{"Version":1,"Backends":[{"Name":"a"},{"Name":"a"}]}"#;
    assert_eq!(patched(base, patch), r#"{"Version":2,"Backends":[{"Name":"a","x":2}]}"#);
}

#[test]
fn escaped_names_are_equal() {
    let base = r#"{"Version":1,"Backends":[{"Name":"a\u0062"}]}"#;
    let patch = r#"{"Version":2,"Delete":{"Backends":["ab"]}}"#;
    assert_eq!(patched(base, patch), r#"{"Version":2,"Backends":[]}"#);
}

#[test]
fn patch_that_makes_configuration_invalid_is_rejected() {
    let base = parse(COMPLETE).unwrap();
    let findings = base.patch(br#"{"Version":9,"Delete":{"Backends":["b2"]}}"#).unwrap_err();
    assert_eq!(findings.iter().next().unwrap().location, "Routes[1].TrafficSplit[1].Backend");
}

#[test]
fn all_errors_in_a_patch_are_reported() {
    let patch = br#"{"Upsert":{"Routes":[{"x":1}],"Backends":{}},"Delete":{"Routes":[1]}}"#;
    let findings = parse(COMPLETE).unwrap().patch(patch).unwrap_err();
    let locations: Vec<_> = findings.iter().map(|finding| finding.location.as_str()).collect();
    assert_eq!(locations, ["Version", "Upsert.Routes[0].Name", "Upsert.Backends", "Delete.Routes[0]"]);
}

#[test]
fn versions_must_rise() {
    let document = parse(COMPLETE).unwrap();
    assert!(document.check_follows(6).is_ok());
    assert_eq!(document.check_follows(7).unwrap_err().location, "Version");
    assert!(document.check_follows(8).is_err());
}
