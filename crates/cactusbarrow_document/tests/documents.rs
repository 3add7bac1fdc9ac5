//! Parsing and validation of documents, their JSON Schema, and lookups in the fleet.

use cactusbarrow_document::{Fleet, Object, json_schema, parse_objects, validate};
use cactusbarrow_policy::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const VALID_DOCUMENTS: &str = "\
service:
  name: drafting
  protocol: completions
  model: drafting
  versions:
    - {model_version: drafting-v2, weight: 9000}
    - {model_version: drafting-v3, weight: 1000}
  favor: resources
---
service:
  name: registry
  protocol: http
  path_prefix: /registry
  routes:
    - {method: POST, path: /status, repeatable: true}
    - {method: POST, path: /status/final, repeatable: false}
---
model_version: {name: drafting-v2, model: drafting, weights: store/drafting-v2}
---
model_version: {name: drafting-v3, model: drafting, weights: store/drafting-v3}
---
customer:
  name: ufficio
  key_sha256: 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
  max_in_flight: 50
  tokens_per_second: 20000
---
backend_server:
  name: drafting-1
  service: drafting
  zone: sicily-1
  agent_address: 10.0.0.1:7000
  control_address: 10.0.0.1:7001
  model_version: drafting-v2
  max_in_flight: 32
";

fn fixed_seed_config() -> Config {
    Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x0cac_7050),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn a_valid_configuration_is_accepted() {
    let objects = parse_objects("good.yaml", VALID_DOCUMENTS).unwrap();
    assert_eq!(objects.len(), 6);
    assert_eq!(validate(&objects), []);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID_DOCUMENTS
        .replace("weight: 1000", "weight: 900")
        .replace("path_prefix: /registry", "path_prefix: registry")
        .replace("service: drafting\n  zone", "service: draughting\n  zone")
        .replace("max_in_flight: 50", "max_in_flight: 0")
        .replace("name: ufficio", "name: Ufficio")
        .replace("5e884898", "5E884898");
    let objects = parse_objects("faults.yaml", &text).unwrap();
    let errors: Vec<String> = validate(&objects).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn errors_name_file_line_and_field() {
    let text = VALID_DOCUMENTS.replace("  favor: resources", "  favour: resources");
    let error = parse_objects("typo.yaml", &text).unwrap_err();
    insta::assert_snapshot!(error);
}

#[test]
fn the_json_schema_matches_its_snapshot() {
    insta::assert_snapshot!(format!("{:#}", json_schema()));
}

#[test]
fn the_longest_matching_route_decides_whether_a_call_is_repeatable() {
    let objects = parse_objects("good.yaml", VALID_DOCUMENTS).unwrap();
    let Object::Service(registry) = &objects[1] else {
        panic!("the second object is a service");
    };
    assert!(registry.is_repeatable("GET", "/anything"));
    assert!(!registry.is_repeatable("POST", "/stamps"));
    assert!(registry.is_repeatable("POST", "/status"));
    assert!(registry.is_repeatable("POST", "/status/today"));
    assert!(!registry.is_repeatable("POST", "/status/final"));
    assert!(!registry.is_repeatable("POST", "/statuses"));
}

#[test]
fn fleet_lookups_follow_applied_changes() {
    let objects = parse_objects("good.yaml", VALID_DOCUMENTS).unwrap();
    let mut fleet = Fleet::default();
    for object in &objects {
        let key = object.key().to_string();
        fleet
            .apply(&key, Some(&object.to_json()), Revision(1))
            .unwrap();
    }
    let found = fleet.service_by_path("/registry/status").unwrap();
    assert_eq!((found.0.name.as_str(), found.1), ("registry", "/status"));
    assert!(fleet.service_by_path("/registryx").is_none());
    assert!(fleet.service_by_model("drafting").is_some());
    assert!(fleet.backend_server("drafting-1").is_some());
    fleet
        .apply("backend_server/drafting-1", None, Revision(2))
        .unwrap();
    assert!(fleet.backend_server("drafting-1").is_none());
    assert!(fleet.apply("nonsense", None, Revision(3)).is_err());
    assert!(fleet.apply("service/x", Some("{"), Revision(3)).is_err());
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_text_gives_objects_or_an_error(text in "(\\PC|[\\n:\\-{}\\[\\]\"' ]){0,200}") {
        // Neither parsing nor validating what was parsed may panic.
        if let Ok(objects) = parse_objects("any.yaml", &text) {
            validate(&objects);
        }
    }

    #[test]
    fn any_inserted_text_gives_objects_or_an_error(offset in 0..VALID_DOCUMENTS.len(), inserted in "\\PC{0,3}") {
        prop_assume!(VALID_DOCUMENTS.is_char_boundary(offset));
        let text = format!("{}{inserted}{}", &VALID_DOCUMENTS[..offset], &VALID_DOCUMENTS[offset..]);
        if let Ok(objects) = parse_objects("damaged.yaml", &text) {
            validate(&objects);
        }
    }

    #[test]
    fn objects_round_trip_through_their_stored_form(limit in 1..u32::MAX) {
        let text = VALID_DOCUMENTS.replace("max_in_flight: 50", &format!("max_in_flight: {limit}"));
        for object in parse_objects("good.yaml", &text).unwrap() {
            prop_assert_eq!(Object::from_json(&object.to_json()).unwrap(), object);
        }
    }
}
