//! Tests for parsing and validating settings files, and for their error messages.

use cactusbarrow_daemon::{AgentSettings, RouterSettings, parse_settings};

const ROUTER: &str = "\
name: router-1
zone: zone-a
listen: 127.0.0.1:8080
control: 127.0.0.1:8081
admin: 127.0.0.1:8082
store: 127.0.0.1:8500
peers:
  - {name: router-2, zone: zone-b, control: 127.0.0.2:8081}
";

const AGENT: &str = "\
name: engine-1
listen: 127.0.0.1:7000
control: 127.0.0.1:7001
admin: 127.0.0.1:7002
backend: 127.0.0.1:9000
kind: engine
";

fn router_error(text: &str) -> String {
    let error = parse_settings::<RouterSettings>("router.yaml", text).unwrap_err();
    error.to_string()
}

fn agent_error(text: &str) -> String {
    let error = parse_settings::<AgentSettings>("agent.yaml", text).unwrap_err();
    error.to_string()
}

#[test]
fn valid_settings_are_accepted() {
    let router: RouterSettings = parse_settings("router.yaml", ROUTER).unwrap();
    assert_eq!(router.to_config(1_024).seeds.len(), 1);
    let agent: AgentSettings = parse_settings("agent.yaml", AGENT).unwrap();
    assert_eq!(agent.to_config(1_024).name, "engine-1");
}

#[test]
fn errors_name_file_line_and_field() {
    let errors = [
        router_error(&ROUTER.replace("listen:", "listens:")),
        router_error(&ROUTER.replace("127.0.0.1:8080", "localhost")),
        router_error(&ROUTER.replace("zone: zone-a\n", "")),
        router_error(
            &ROUTER
                .replace("name: router-1", "name: ''")
                .replace("control: 127.0.0.1:8081", "control: 127.0.0.1:8080"),
        ),
        router_error(&ROUTER.replace("control: 127.0.0.1:8081", "control: 0.0.0.0:8081")),
        agent_error(&AGENT.replace("kind: engine", "kind: motor")),
        agent_error(&format!("{AGENT}grace_seconds: 5\nmove_after_seconds: 9\n")),
    ];
    insta::assert_snapshot!(errors.join("\n---\n"));
}
