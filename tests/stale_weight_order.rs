//! An expired weight order is not sent.
//!
//! If the process of a leader is paused between deciding on an order and sending it, another leader
//! may order a later version in the meantime. An engine that does not check fencing numbers would
//! then revert to the older version. The deadline therefore applies after connecting as well.

#[path = "../examples/fakes/engine.rs"]
mod engine;

use {
    self::engine::{EngineBehaviour, FakeEngine},
    oleandermount::{
        backend::{BackendError, engine as client},
        ids::FencingNumber,
    },
    std::time::Duration,
    tokio::time::Instant,
};

#[tokio::test]
async fn expired_order_is_not_sent() {
    let behaviour = EngineBehaviour { checks_fencing: false, ..Default::default() };
    let engine = FakeEngine::start(behaviour).await.expect("the engine starts");
    let model = || "basket-llm".to_owned();
    let order = |weights: &str, send_before: Instant| {
        let fencing = FencingNumber::default();
        client::order_weights(engine.address(), model(), weights.to_owned(), fencing, send_before)
    };
    let future = Instant::now() + Duration::from_secs(600);
    order("v2", future).await.expect("the order has not expired");
    assert_eq!(order("v1", Instant::now()).await, Err(BackendError::Stale));
    let report =
        client::load_report(engine.address(), "e".to_owned()).await.expect("the engine responds");
    assert_eq!(report.weights.get(&model()).map(String::as_str), Some("v2"));
}
