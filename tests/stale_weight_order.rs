//! A leader is frozen between its decision to load weights and the sending. It wakes after another
//! leader has ordered a later version; an engine that does not check numbers would go back to the
//! older one. Past its time an order must not leave, also when the connection was made meanwhile.

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
async fn order_past_its_time_is_not_sent() {
    let behaviour = EngineBehaviour { checks_fencing: false, ..Default::default() };
    let engine = FakeEngine::start(behaviour).await.expect("it starts");
    let model = || "basket-llm".to_owned();
    let order = |weights: &str, before: Instant| {
        let number = FencingNumber::default();
        client::order_weights(engine.address(), model(), weights.to_owned(), number, before)
    };
    let soon = Instant::now() + Duration::from_secs(600);
    order("v2", soon).await.expect("it is in time");
    assert_eq!(order("v1", Instant::now()).await, Err(BackendError::Stale));
    let report = client::load(engine.address(), "e".to_owned()).await.expect("it answers");
    assert_eq!(report.weights.get(&model()).map(String::as_str), Some("v2"));
}
