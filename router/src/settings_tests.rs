//! Findings in the settings of the bounds on connections.

use crate::settings::Settings;

fn parse(limits: &str) -> Result<Settings, String> {
    let text = format!(
        "name = \"h\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n\
         peers = \"127.0.0.1:3\"\nadmin = \"127.0.0.1:4\"\n[store]\naddress = \"127.0.0.1:5\"\n\
         [limits]\n{limits}\n"
    );
    Settings::parse("test", &text).map_err(|findings| findings.to_string())
}

/// Guards against a host that starts with a bound on which it cannot serve.
#[test]
fn bounds_on_connections_are_findings_outside_their_range() {
    for key in ["descriptors", "caller_connections"] {
        for value in ["0", "15", "1048577", "-1", "20.5", "\"64\""] {
            let found = parse(&format!("{key} = {value}")).expect_err(value);
            assert!(found.contains(&format!("limits.{key}")), "{found}");
            assert!(found.contains("from 16 to 1048576"), "{found}");
        }
    }
}

#[test]
fn bounds_on_connections_are_read_and_optional() {
    let limits = parse("descriptors = 16\ncaller_connections = 1_048_576").unwrap();
    assert_eq!(limits.limits.descriptors, Some(16));
    assert_eq!(limits.limits.caller_connections, Some(1 << 20));
    let limits = parse("").unwrap().limits;
    assert_eq!(
        (limits.descriptors, limits.caller_connections),
        (None, None)
    );
}
