//! Interface shared by the dispatcher and the baseline routers.

use {
    oleandermount::policy::{Dispatcher, PolicyAction, PolicyInput},
    std::time::Instant,
};

/// Routing policy of one daemon. The simulation executes the actions that it returns.
pub trait RoutePolicy {
    /// Processes one input and returns the resulting actions.
    fn handle(&mut self, now: Instant, input: PolicyInput) -> Vec<PolicyAction>;
    /// Returns the time at which `PolicyInput::Wake` is due; none if no timer is set.
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

/// Identity of a daemon's router in one incarnation of the daemon.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// VM of the daemon.
    pub daemon: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Seed of the router's random choices in this incarnation.
    pub seed: u64,
}

/// Creates the router of a daemon's incarnation.
pub type RouterMaker<'a> = dyn Fn(&RouterIdentity) -> Box<dyn RoutePolicy> + 'a;
