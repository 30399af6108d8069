//! The view file of subscribers: shared by two processes, corrupt, and failing for a time.

mod support;

use curlewhub_control_plane::record::{Proposal, Record, RecordKind, Version};
use curlewhub_control_plane::view::View;
use curlewhub_control_plane_node::ViewFile;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use support::TestDirectory;

/// A view with this number of versions.
fn view(versions: u64) -> View {
    let mut view = View::default();
    for version in 1..=versions {
        let (key, by, why) = (format!("k{}", version % 3), "test".to_owned(), String::new());
        let proposal = Proposal {
            id: version,
            key,
            kind: RecordKind::NOTE,
            body: vec![1],
            by,
            why,
            expected_version: None,
        };
        let (previous_hash, version) = (view.hash(), Version(version));
        view.apply(Record { version, term: 1, previous_hash, at_ms: 0, proposal }).unwrap();
    }
    view
}

#[test]
fn two_processes_share_a_view_file_that_is_never_replaced_by_an_older_view() {
    let directory = TestDirectory::new("shared-view");
    let (old, new) = (ViewFile::new(directory.path()), ViewFile::new(directory.path()));
    assert_eq!(old.view().unwrap(), View::default());
    assert_eq!(old.incarnation(1000).unwrap(), 1000);
    old.store(&view(15)).unwrap();
    assert_eq!(new.incarnation(900).unwrap(), 1001, "above the previous one, whatever the clock reads");
    assert_eq!(new.view().unwrap(), view(15), "a successor starts from its predecessor's view");
    new.store(&view(16)).unwrap();
    old.store(&view(15)).unwrap();
    assert_eq!(new.view().unwrap(), view(16));
    // Truncated, noise, or with bytes appended: an error, and the next view is stored all the same.
    let path = directory.join("fleet-view.bin");
    let whole = std::fs::read(&path).unwrap();
    for bytes in [&whole[..whole.len() / 2], &[7; 100][..], &[&whole[..], &[0]].concat()[..]] {
        std::fs::write(&path, bytes).unwrap();
        assert!(new.view().is_err(), "{} bytes", bytes.len());
    }
    new.store(&view(17)).unwrap();
    assert_eq!(new.view().unwrap(), view(17));
}

#[test]
fn a_view_that_could_not_be_written_is_written_later_with_its_incarnation() {
    let directory = TestDirectory::new("failed-view");
    let state = directory.join("s");
    // No directory can be created in place of a file.
    std::fs::write(&state, "").unwrap();
    let file = ViewFile::new(&state);
    assert!(file.incarnation(1000).is_err());
    assert!(file.store(&View::default()).is_err());
    std::fs::remove_file(&state).unwrap();
    // The stored view is not older, but it is not durable yet.
    file.store(&View::default()).unwrap();
    let written = std::fs::metadata(state.join("fleet-view.bin")).unwrap().ino();
    assert!(ViewFile::new(&state).has_started().unwrap());
    file.store(&View::default()).unwrap();
    assert_eq!(std::fs::metadata(state.join("fleet-view.bin")).unwrap().ino(), written, "written once");
    assert!(
        ViewFile::new(&state).incarnation(500).unwrap() > 1000,
        "above that of the start that could not write"
    );
    // A file that can't be read at the moment is not replaced.
    let path = state.join("fleet-view.bin");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    std::fs::rename(&path, state.join("aside")).unwrap();
    std::fs::create_dir(&path).unwrap();
    assert!(file.store(&View::default()).is_err() && file.incarnation(1).is_err());
    std::fs::remove_dir(&path).unwrap();
    std::fs::rename(state.join("aside"), &path).unwrap();
    assert!(ViewFile::new(&state).incarnation(1).unwrap() > 1001);
}
