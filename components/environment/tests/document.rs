//! Parsing, checking, comparing and routing of documents.

use std::collections::BTreeMap;

use environment::{
    Document,
    Target,
    diff,
    digest,
    parse,
    parse_checked,
    replace_environment, //
};
use rstest::rstest;

const PAYOUT_DESK: &str = include_str!("../../../examples/payout-desk.yaml");
const PRE_ORDER_DESK: &str = include_str!("../../../examples/pre-order-desk.yaml");

fn document(text: &str) -> Document {
    parse_checked(text).expect("the document is valid")
}

#[rstest]
#[case(PAYOUT_DESK, "drafting", 25)]
#[case(PAYOUT_DESK, "ledger", 3)]
#[case(PRE_ORDER_DESK, "letters", 20)]
#[case(PRE_ORDER_DESK, "booking", 3)]
fn example_lists_its_replicas(#[case] text: &str, #[case] name: &str, #[case] replicas: usize) {
    let document = document(text);
    let service = document.service(name).expect("the example has the service");
    let listed: usize = service.versions.iter().map(|v| v.servers.len()).sum();
    assert_eq!(listed, replicas);
}

/// A document with one error must be rejected with the error's line and the accepted values.
/// Otherwise an operator searches hundreds of lines while a move waits.
#[rstest]
#[case("unknown_field", "    kind: plain\n", "    kind: plain\n    sort: x\n")]
#[case("unknown_kind", "    kind: plain\n", "    kind: simple\n")]
#[case("missing_field", "    kind: plain\n", "")]
#[case("not_a_number", "    weight: 4\n", "    weight: four\n")]
#[case("not_a_time", "2026-12-03T11:00:00Z", "eleven")]
#[case("not_a_duration", "watch: 15m", "watch: later")]
#[case(
    "not_a_list",
    "versions:\n      - name: \"14\"\n        servers: [ledger-north-01, ledger-south-01, ledger-west-01]",
    "versions: 14"
)]
#[case("not_yaml", "services:\n", "services: [\n")]
#[case("invalid_name", "environment: production", "environment: a/b")]
#[case(
    "duplicate_service",
    "- name: ledger\n    kind",
    "- name: drafting\n    kind"
)]
#[case(
    "duplicate_version",
    "\"2026.11\"\n        servers",
    "\"2026.10\"\n        servers"
)]
#[case("server_claimed_twice", "- draft-west-08", "- draft-w*")]
#[case("missing_model", "    model: rota-writer\n", "")]
#[case("unknown_service", "    service: ledger\n", "    service: leger\n")]
#[case("unknown_version", "version: \"14\"", "version: \"15\"")]
#[case("unreachable_route", "path: /svc/ledger/", "path: \"\"")]
#[case("move_to_itself", "to: \"2026.11\"", "to: \"2026.10\"")]
#[case("move_unknown_version", "to: \"2026.11\"", "to: \"2026.12\"")]
#[case("move_ends_before_start", "11:00:00Z", "07:00:00Z")]
#[case(
    "move_unknown_route",
    "    watch: 15m\n",
    "    routes: [ledger, other]\n"
)]
#[case(
    "moves_overlap",
    "moves:\n",
    "moves:\n  - { name: other, service: drafting, from: \"2026.10\", to: \"2026.11\", routes: [questions], by: 2026-12-03T11:00:00Z }\n"
)]
#[case("zero_weight", "    weight: 4\n", "    weight: 0\n")]
#[case("objective_out_of_range", "objective: 0.95", "objective: 95")]
#[case(
    "level_unknown_service",
    "  - service: ledger\n",
    "  - service: leger\n"
)]
#[case("invalid_method", "[GET, HEAD]", "[get]")]
fn error_is_reported_with_its_line(#[case] name: &str, #[case] from: &str, #[case] to: &str) {
    assert!(
        PAYOUT_DESK.contains(from),
        "the example contains the text that {name} replaces"
    );
    let problems =
        parse_checked(&PAYOUT_DESK.replacen(from, to, 1)).expect_err("the error is found");
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(name, lines.join("\n"));
}

/// Guards against a valid document that is rejected because two of its routes have the same path on
/// different hosts.
#[rstest]
#[case("ledger.example", "other.example", false)]
#[case("ledger.example", "Ledger.example", true)]
#[case("", "other.example", true)]
fn a_route_shadows_only_routes_of_its_host(
    #[case] earlier: &str,
    #[case] later: &str,
    #[case] shadowed: bool,
) {
    let route = |name, host| {
        format!(
            "  - name: {name}\n    match: {{host: {host:?}, path: /shared/}}\n    service: ledger\n    version: \"14\"\n"
        )
    };
    let routes = format!("routes:\n{}{}", route("one", earlier), route("two", later));
    let problems = parse_checked(&PAYOUT_DESK.replacen("routes:\n", &routes, 1));
    let lines = problems.err().unwrap_or_default();
    let lines: Vec<_> = lines.iter().map(ToString::to_string).collect();
    let found = lines
        .iter()
        .any(|line| line.contains("unreachable: the earlier route `one`"));
    assert_eq!(found, shadowed, "{lines:?}");
}

#[test]
fn oversized_document_is_rejected() {
    let text = format!("{PAYOUT_DESK}# {}\n", "x".repeat(1 << 20));
    insta::assert_snapshot!("too_large", parse(&text).expect_err("it is too large"));
}

#[test]
fn digest_depends_on_content_and_not_on_formatting() {
    let plain = "environment: a\nservices: []\nroutes: []\n";
    let other = "# A comment.\nroutes: []\nservices: [ ]\nenvironment: \"a\"\n";
    assert_eq!(digest(plain), digest(other));
    assert_ne!(
        digest(plain),
        digest(&plain.replace("environment: a", "environment: b"))
    );
    assert_ne!(digest("a: 1"), digest("a: \"1\""));
    assert_ne!(digest("a: [b]"), digest("a: b"));
    assert_ne!(digest("[[a], b]"), digest("[[a, b]]"));
}

#[test]
fn differences_are_reported_by_element_name() {
    let before = document(PAYOUT_DESK);
    let mut after = before.clone();
    after.services[0].versions[1]
        .servers
        .push("draft-west-09".into());
    after.routes.swap(0, 1);
    after.moves.clear();
    after.teams.remove("members");
    after.levels[0].objective = 0.99;
    let lines: Vec<_> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!("difference", lines.join("\n"));
    assert_eq!(diff(&before, &before), []);
}

#[rstest]
#[case("/svc/ledger/payouts", "members", "", Some("ledger"))]
#[case("/v1/completions", "statements", "rota-writer", Some("statements"))]
#[case("/v1/completions", "members", "rota-writer", Some("questions"))]
#[case("/other", "members", "", None)]
fn request_takes_the_first_matching_route(
    #[case] path: &str,
    #[case] team: &str,
    #[case] model: &str,
    #[case] route: Option<&str>,
) {
    let target = document(PAYOUT_DESK).route(path, team, model, |_| None);
    assert_eq!(target.map(|target| target.route).as_deref(), route);
}

#[test]
fn route_matches_headers_and_model() {
    let text = "
environment: a
services:
  - { name: s, kind: plain, versions: [{ name: '1', servers: ['x-*'] }] }
routes:
  - { name: canary, match: { headers: { x-try: 'yes' }, model: m }, service: s, version: '1' }
  - { name: rest, service: s, version: '1' }
";
    let document = document(text);
    let headers = BTreeMap::from([("x-try", "yes")]);
    let header = |name: &str| headers.get(name).map(ToString::to_string);
    let target = |model: &str| document.route("/", "t", model, header);
    let canary = Target {
        service: "s".into(),
        version: "1".into(),
        route: "canary".into(),
    };
    assert_eq!(target("m"), Some(canary));
    assert_eq!(target("n").map(|t| t.route).as_deref(), Some("rest"));
    let release = &document.services[0].versions[0];
    assert!(release.runs_on("x-1") && !release.runs_on("y-1"));
}

#[test]
fn limits_fall_back_to_the_default_team() {
    let document = document(PAYOUT_DESK);
    assert_eq!(document.limit("statements").weight, 4);
    assert_eq!(document.limit("nobody").in_flight, 20);
}

/// When a trial environment is promoted, its document is stored under the name of production. Other
/// occurrences of the name in the text, and the comments, must remain unchanged.
#[test]
fn environment_name_is_replaced_in_a_text() {
    let text = "# About e.\nenvironment: 'e' # Here e.\nservices: []\nroutes: []\n";
    let expected = "# About e.\nenvironment: 'production' # Here e.\nservices: []\nroutes: []\n";
    assert_eq!(
        replace_environment(text, "production").as_deref(),
        Some(expected)
    );
    assert_eq!(replace_environment("not a document", "production"), None);
}
