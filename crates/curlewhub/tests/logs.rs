//! The rate limit on the log lines of a call site.

use curlewhub::log_limit::CallSiteLimit;
use std::sync::{Mutex, OnceLock};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

/// The metadata of two call sites, as a subscriber receives them.
fn call_sites() -> [&'static Metadata<'static>; 2] {
    struct Recorder;
    static SEEN: OnceLock<Mutex<Vec<&'static Metadata<'static>>>> = OnceLock::new();
    impl<S: Subscriber> Layer<S> for Recorder {
        fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
            SEEN.get_or_init(Mutex::default).lock().unwrap().push(event.metadata());
        }
    }
    tracing::subscriber::with_default(tracing_subscriber::registry().with(Recorder), || {
        tracing::info!("one");
        tracing::info!("two");
    });
    let seen = SEEN.get().unwrap().lock().unwrap();
    [seen[0], seen[1]]
}

#[test]
fn log_lines_are_limited_and_dropped_lines_counted_per_call_site() {
    let [one, two] = call_sites();
    let limit = CallSiteLimit::new(3);
    let admitted = |call_site, second| (0..10).filter(|_| limit.admit(call_site, second)).count();
    assert_eq!((admitted(one, 0), admitted(two, 0)), (3, 3));
    assert_eq!(admitted(one, 1), 3, "the limit applies anew in each second");
    let mut dropped = limit.take_dropped();
    dropped.sort_by_key(|lines| lines.count);
    assert_eq!(dropped.iter().map(|lines| lines.count).collect::<Vec<_>>(), [7, 14]);
    assert!(dropped[0].call_site.contains("logs"), "{dropped:?}");
    assert_eq!(limit.take_dropped(), [], "dropped lines are reported only once");
}
