//! The text form of the messages between predecessor and successor.

use curlewhub_balance::ShareTransfer;
use curlewhub_runtime::events::OverlapMessage;
use curlewhub_runtime::handover::protocol::Message;

#[test]
fn written_messages_are_parsed_to_the_same_messages() {
    let ban = |banned| Message::Ban { uid: "s-1".to_owned(), banned };
    let learned_state = Message::LearnedState(vec![0, 10, 255]);
    let portion: ShareTransfer =
        serde_json::from_str(r#"{"windows":[[3.25,true],[1.0,false]],"retries":0.1}"#).unwrap();
    let demand = Message::Overlap(OverlapMessage::Demand(9));
    let parts = Message::Overlap(OverlapMessage::Parts(7, portion));
    for (message, line) in [
        (ban(true), "DETACH s-1\n"),
        (ban(false), "ATTACH s-1\n"),
        (Message::BanAcknowledged, "DONE\n"),
        (Message::DescriptorAllowance(96), "SPARE 96\n"),
        (Message::LearnedStateRequest, "LEARN\n"),
        (learned_state, "LEARNT AAr/\n"),
        (Message::UsableEndpointsRequest, "LIST\n"),
        (Message::UsableEndpoints(vec!["s-1".to_owned(), "s 2".to_owned()]), "LISTED [\"s-1\",\"s 2\"]\n"),
        (demand, "NEED 9\n"),
        (parts, "GIVE 7 {\"windows\":[[3.25,true],[1.0,false]],\"retries\":0.1}\n"),
    ] {
        assert_eq!(message.to_line(), line);
        assert_eq!(Message::parse(message.to_line().trim_end()), Some(message));
    }
}

#[test]
fn invalid_lines_are_rejected() {
    let infinite = r#"GIVE 3 {"windows":[[1e999,true],[1.0,false]],"retries":0.1}"#;
    for invalid in [
        "", "DETACH", "SPARE", "SPARE -1", "DONE x", "HELLO", "LEARN x", "LEARNT ~", "NEED", infinite,
        "LIST x", "LISTED", "LISTED 3",
    ] {
        assert_eq!(Message::parse(invalid), None, "{invalid}");
    }
}
