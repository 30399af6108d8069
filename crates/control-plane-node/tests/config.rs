//! Settings and key files of a process of the control plane.

mod support;

use curlewhub_control_plane_node::config::{FleetConfig, keys};
use support::TestDirectory;

#[test]
fn the_deploy_examples_are_valid_and_errors_name_the_settings_key() {
    for text in [include_str!("../../../deploy/keeper.toml"), include_str!("../../../deploy/follower.toml")]
    {
        let config: FleetConfig = toml::from_str(text).unwrap();
        assert_eq!(config.problems(), []);
    }
    let directory = TestDirectory::new("config");
    let path = directory.join("keeper.toml");
    let valid = include_str!("../../../deploy/keeper.toml");
    let cases = [
        ("name = \"keeper-a\"", "name = \"\"", "name: allowed"),
        ("listen = \"127.0.0.1:7401\"", "listen = \"10.0.0.1:7401\"", "listen: allowed: on loopback"),
        ("id = 2", "id = 1", "keepers[1].id"),
        ("id = 2", "id = 0", "keepers[1].id"),
        ("name = \"keeper-b\"", "name = \"keeper-a\"", "keepers[1].name"),
        ("state_dir", "state_dri", "state_dri"),
    ];
    for (from, to, wanted) in cases {
        std::fs::write(&path, valid.replace(from, to)).unwrap();
        let problem = FleetConfig::read(&path).unwrap_err();
        assert!(problem.contains(wanted), "{wanted}: {problem}");
    }
    std::fs::write(&path, valid).unwrap();
    let config = FleetConfig::read(&path).unwrap();
    for (text, wanted) in [("", "64 hexadecimal digits"), ("zz", "64 hexadecimal digits")] {
        let file = directory.join("key");
        std::fs::write(&file, text).unwrap();
        let mut config = config.clone();
        config.key.file = file;
        assert!(keys(&config).unwrap_err().to_string().contains(wanted));
    }
}
