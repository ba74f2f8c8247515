//! The seam that the dispatcher and the baselines share.

use {
    oleandermount::policy::{Dispatcher, PolicyAction, PolicyInput},
    std::time::Instant,
};

/// Decides for one daemon; the fleet carries out what it says.
pub trait RoutePolicy {
    /// Takes one input and says what is to be done.
    fn handle(&mut self, now: Instant, input: PolicyInput) -> Vec<PolicyAction>;
    /// When `Wake` is wanted next.
    fn next_wakeup(&self) -> Option<Instant>;
}

impl RoutePolicy for Dispatcher {
    fn handle(&mut self, now: Instant, input: PolicyInput) -> Vec<PolicyAction> {
        Dispatcher::handle(self, now, input)
    }

    fn next_wakeup(&self) -> Option<Instant> {
        Dispatcher::next_wakeup(self)
    }
}

/// One life of one daemon's router.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// The VM.
    pub daemon: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Seeds this life's random choices.
    pub seed: u64,
}

/// Makes the router of a daemon's life.
pub type RouterMaker<'a> = dyn Fn(&RouterIdentity) -> Box<dyn RoutePolicy> + 'a;
