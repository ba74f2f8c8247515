//! What an arbiter of usage limits and the holders of shares decide.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::policy::usage_limits::{
        CONFIRM_TERM, SHARE_TERM, SILENCE_LIMIT, ShareReport, UsageArbiter, UsageDecision,
        UsageHolder, UsageLimit, UsageReply, UsageRequest, UsageUnit,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

fn cap(rate: f64) -> UsageLimit {
    UsageLimit { rate, burst: rate, unit: UsageUnit::Tokens, plain_tokens: 100 }
}

fn caps(count: usize, rate: f64) -> BTreeMap<String, UsageLimit> {
    (0..count).map(|index| (format!("o-{index}"), cap(rate))).collect()
}

fn entries(count: usize) -> BTreeSet<String> {
    (0..count).map(|index| format!("vm-{index}")).collect()
}

fn request(organisation: &str, cost: f64, held: f64) -> UsageRequest {
    let report = ShareReport {
        organisation: organisation.to_owned(),
        held,
        in_use: false,
        wanted: true,
        lent: 0.0,
        lent_for: Duration::ZERO,
    };
    UsageRequest { report, cost, ahead: 0.0 }
}

/// An arbiter of all organisations that has the whole rate, and its time.
fn settled(caps: BTreeMap<String, UsageLimit>) -> (UsageArbiter, Instant) {
    let (began, mut arbiter) = (Instant::now(), UsageArbiter::new("vm-0".to_owned()));
    arbiter.configure(began, caps, entries(1));
    let now = began + SHARE_TERM;
    arbiter.confirm(now);
    (arbiter, now)
}

fn units(reply: &UsageReply) -> f64 {
    match reply {
        UsageReply::Granted { units, .. } => *units,
        _ => 0.0,
    }
}

fn acquire(arbiter: &mut UsageArbiter, now: Instant, holder: &str, request: &UsageRequest) -> f64 {
    units(&arbiter.acquire(now, &holder.to_owned(), request, 0.5))
}

#[test]
fn unit_costs() {
    assert_eq!(cap(1.0).cost(Some(4)), 4.0);
    assert_eq!(cap(1.0).cost(None), 100.0);
    let requests = UsageLimit { unit: UsageUnit::Requests, ..cap(1.0) };
    assert_eq!(requests.cost(Some(4)), 1.0);
}

/// Guards against a fleet that refuses everything for a whole term after all of it has restarted.
#[test]
fn restarted_fleet() {
    let (began, mut arbiter) = (Instant::now(), UsageArbiter::new("vm-0".to_owned()));
    let mut holder = UsageHolder::default();
    holder.configure(began, caps(1, 1_000.0), BTreeSet::new(), 10);
    holder.decide(began, &"o-0".to_owned(), 50.0);
    let alone = holder.decide(began + Duration::from_secs(1), &"o-0".to_owned(), 50.0);
    assert_eq!(alone, UsageDecision::Granted, "no arbiter is named yet");
    arbiter.configure(began, caps(1, 1_000.0), entries(1));
    let now = began + Duration::from_millis(1_500);
    arbiter.confirm(now);
    assert_eq!(acquire(&mut arbiter, now, "vm-1", &request("o-0", 100.0, 0.0)), 100.0);
}

/// A request larger than the burst is granted as soon as the balance is positive.
#[test]
fn long_request() {
    let (mut arbiter, now) = settled(caps(1, 100.0));
    assert_eq!(acquire(&mut arbiter, now, "vm-1", &request("o-0", 99.0, 0.0)), 99.0);
    assert_eq!(acquire(&mut arbiter, now, "vm-1", &request("o-0", 500.0, 0.0)), 500.0);
    let reply = arbiter.acquire(now, &"vm-1".to_owned(), &request("o-0", 1.0, 0.0), 0.0);
    let UsageReply::Refused { retry_after, in_debt, .. } = reply else { panic!("{reply:?}") };
    assert!(in_debt && (4.9..5.1).contains(&retry_after.as_secs_f64()));
    let later = now + retry_after + Duration::from_millis(1);
    let mut renewal = now;
    while renewal < later {
        arbiter.confirm(renewal);
        arbiter.renew(renewal, &"vm-1".to_owned(), [request("o-0", 0.0, 1.0).report]);
        renewal += Duration::from_millis(200);
    }
    assert_eq!(acquire(&mut arbiter, later, "vm-1", &request("o-0", 1.0, 0.0)), 1.0);
}

/// The delays of refused requests are spread over the time that all of them need.
#[test]
fn spread_delays() {
    let (mut arbiter, now) = settled(caps(1, 100.0));
    acquire(&mut arbiter, now, "vm-1", &request("o-0", 100.0, 0.0));
    let mut delays = Vec::new();
    for refusal in 0..100 {
        let chance = f64::from(refusal * 37 % 100) / 100.0;
        let reply = arbiter.acquire(now, &"vm-1".to_owned(), &request("o-0", 10.0, 0.0), chance);
        let UsageReply::Refused { retry_after, .. } = reply else { panic!("{reply:?}") };
        delays.push(retry_after.as_secs_f64());
    }
    assert!(delays.iter().all(|delay| *delay <= 10.0));
    assert!(delays.iter().any(|delay| *delay > 5.0) && delays.iter().any(|delay| *delay < 1.0));
}

#[test]
fn other_organisation() {
    let (mut arbiter, now) = settled(caps(2, 100.0));
    while acquire(&mut arbiter, now, "vm-1", &request("o-0", 10.0, 0.0)) > 0.0 {}
    assert_eq!(acquire(&mut arbiter, now, "vm-1", &request("o-1", 100.0, 0.0)), 100.0);
}

/// Organisations have state only while they are in use.
#[test]
fn idle_organisations() {
    let count = 44_000;
    let (mut arbiter, now) = settled(caps(count, 100.0));
    let mut holder = UsageHolder::default();
    holder.configure(now, caps(count, 100.0), entries(1), 1);
    assert_eq!((arbiter.accounts(), holder.accounts()), (0, 0));
    assert_eq!(holder.decide(now, &"none".to_owned(), 1.0), UsageDecision::Unlimited);
    for index in 0..1_000 {
        let organisation = format!("o-{index}");
        assert!(matches!(
            holder.decide(now, &organisation, 1.0),
            UsageDecision::Ask { ref arbiter, .. } if arbiter == "vm-0"
        ));
        acquire(&mut arbiter, now, "vm-1", &request(&organisation, 1.0, 0.0));
    }
    assert_eq!((arbiter.accounts(), holder.accounts()), (1_000, 1_000));
    let later = now + SHARE_TERM;
    arbiter.expire(later);
    holder.due(later);
    holder.returns(later);
    assert_eq!((arbiter.accounts(), holder.accounts()), (0, 0));
}

/// An entry without the control VMs' word gives out nothing of the whole rate.
#[test]
fn unconfirmed_arbiter() {
    let (mut arbiter, now) = settled(caps(1, 100.0));
    acquire(&mut arbiter, now, "vm-1", &request("o-0", 150.0, 0.0));
    let later = now + CONFIRM_TERM + Duration::from_secs(10);
    assert_eq!(acquire(&mut arbiter, later, "vm-2", &request("o-0", 1.0, 0.0)), 0.0);
    assert_eq!(
        arbiter.acquire(later, &"vm-2".to_owned(), &request("none", 1.0, 0.0), 0.5),
        UsageReply::NotArbiter
    );
}

/// The arbiter does not spend the share of an entry that it does not hear of.
#[test]
fn silent_holder() {
    let (mut arbiter, now) = settled(caps(1, 100.0));
    // The only holder has the whole rate as its share.
    let reply = arbiter.acquire(now, &"vm-1".to_owned(), &request("o-0", 150.0, 0.0), 0.5);
    assert!(matches!(reply, UsageReply::Granted { share: Some(share), .. } if share > 0.99));
    let before_end = now + SHARE_TERM - Duration::from_millis(10);
    arbiter.confirm(before_end);
    // It has earned what it owed until the silence.
    assert!(SILENCE_LIMIT.as_secs_f64() * 100.0 <= 50.0);
    assert_eq!(acquire(&mut arbiter, before_end, "vm-2", &request("o-0", 1.0, 0.0)), 0.0);
    let after_end = now + SHARE_TERM + Duration::from_secs(1);
    arbiter.confirm(after_end);
    assert_eq!(acquire(&mut arbiter, after_end, "vm-2", &request("o-0", 1.0, 0.0)), 1.0);
}

/// What was granted in advance and not used is given back, and so is what has not run.
#[test]
fn unused_units() {
    let (mut arbiter, now) = settled(caps(1, 100.0));
    let mut holder = UsageHolder::default();
    holder.configure(now, caps(1, 100.0), entries(1), 1);
    let organisation = "o-0".to_owned();
    let UsageDecision::Ask { arbiter: asked, request } = holder.decide(now, &organisation, 90.0)
    else {
        panic!("the arbiter is not asked")
    };
    let reply = arbiter.acquire(now, &"vm-1".to_owned(), &request, 0.5);
    let decision = holder.record_reply(now, &asked, &request, now, reply);
    assert_eq!(decision, UsageDecision::Granted);
    holder.not_run(now, &organisation, 90.0);
    assert_eq!(holder.decide(now, &organisation, 60.0), UsageDecision::Granted);
    assert!(holder.charge_repeat(now, &organisation, 20.0));
    let later = now + Duration::from_millis(600);
    let returned = holder.returns(later);
    assert_eq!(returned, BTreeMap::from([(asked, vec![(organisation, 10.0)])]));
}
