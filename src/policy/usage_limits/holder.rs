//! What this entry holds of the caps of the organisations whose callers it serves.

use {
    super::{
        AHEAD_TIME, RENEWAL_PERIOD, SHARE_TERM, SILENCE_LIMIT, ShareGrant, ShareReport,
        UsageDecision, UsageLimit, UsageReply, UsageRequest, rank, retry_after,
    },
    crate::ids::{OrganisationId, VmId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Maximum organisations with a cap that this entry serves at a time; requests of others are refused.
const MAX_HELD: usize = 16_384;

/// Entries that are asked for units of an organisation, in the order of their rank, when others are silent.
const MAX_RANKS: usize = 8;

/// Units granted in advance are given back after this time.
const PREPAID_TERM: Duration = Duration::from_millis(500);

/// After a refusal, others are refused for this time without asking again.
const REFUSAL_TERM: Duration = Duration::from_millis(50);

/// A share is kept for this time after the last request.
const KEPT_TIME: Duration = Duration::from_secs(2);

/// The part of the rate that all entries together spend when they have no share and reach no arbiter.
const UNREACHED_FRACTION: f64 = 0.05;

/// Time constant of the measured demand, in seconds.
const DEMAND_MEMORY: f64 = 0.5;

/// The golden ratio's fraction: successive multiples of it spread evenly over a span.
const SPREAD_STEP: f64 = 0.618_033_988_75;

/// The share of this entry.
#[derive(Clone, Debug)]
struct HeldShare {
    giver: VmId,
    /// The part of the rate; at most 1.
    fraction: f64,
    /// When the request was sent whose reply granted it.
    sent: Instant,
    ends: Instant,
    /// When the giver may last have taken the share for its own to spend, but for [`SILENCE_LIMIT`].
    contact: Instant,
    /// To whom it is lent, for all the time until it ends.
    lent_to: Option<VmId>,
}

/// An entry that is asked, and whether it has replied within [`SILENCE_LIMIT`].
struct EntryContact {
    vm: VmId,
    is_reached: bool,
}

impl EntryContact {
    fn new(now: Instant, vm: VmId, replied: &BTreeMap<VmId, Instant>) -> Self {
        let is_reached = replied.get(&vm).is_some_and(|replied| now < *replied + SILENCE_LIMIT);
        EntryContact { vm, is_reached }
    }
}

/// What this entry holds of one cap.
#[derive(Clone, Debug)]
struct HeldUsage {
    /// The entries to ask, the arbiter first; at most [`MAX_RANKS`].
    ranking: Vec<VmId>,
    /// Units that were granted in advance, by whom and until when.
    prepaid: f64,
    payer: Option<VmId>,
    prepaid_ends: Instant,
    /// Units a second that are asked for.
    demand: f64,
    used: Instant,
    refused_until: Instant,
    /// The delay of the last refusal, in seconds.
    refusal_delay: f64,
    in_debt: bool,
    /// From 0 to 1.
    spread: f64,
    share: Option<HeldShare>,
    /// Units that this entry may spend while it reaches nobody, and since when that is so.
    credit: f64,
    credited: Option<Instant>,
    reported: Instant,
    probed: Instant,
}

impl HeldUsage {
    fn new(now: Instant, ranking: Vec<VmId>) -> Self {
        HeldUsage {
            ranking,
            prepaid: 0.0,
            payer: None,
            prepaid_ends: now,
            demand: 0.0,
            used: now,
            refused_until: now,
            refusal_delay: 0.0,
            in_debt: false,
            spread: 0.0,
            share: None,
            credit: 0.0,
            credited: None,
            reported: now,
            probed: now,
        }
    }

    fn record_demand(&mut self, now: Instant, cost: f64) {
        let elapsed = now.saturating_duration_since(self.used).as_secs_f64();
        self.demand = self.demand * (-elapsed / DEMAND_MEMORY).exp() + cost / DEMAND_MEMORY;
        self.used = now;
    }

    /// Units to ask for in advance: none if the next request is not expected within [`AHEAD_TIME`].
    fn ahead(&self, cost: f64) -> f64 {
        let expected = self.demand * AHEAD_TIME.as_secs_f64();
        if expected >= 2.0 * cost { expected - cost } else { 0.0 }
    }

    /// Drops the share when it has ended.
    fn end_share(&mut self, now: Instant) {
        self.share.take_if(|share| now >= share.ends);
    }

    /// The share as it is reported to an entry, which gets it lent if its giver is silent and the entry is
    /// known to be reached: what is lent to another is lost until it ends.
    fn report(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        target: &EntryContact,
        unreached: f64,
    ) -> ShareReport {
        self.end_share(now);
        let EntryContact { vm: target, is_reached } = target;
        let mut report = ShareReport {
            organisation: organisation.clone(),
            held: 0.0,
            in_use: false,
            wanted: true,
            lent: 0.0,
            lent_for: SHARE_TERM,
        };
        let Some(share) = &mut self.share else {
            report.lent = unreached;
            return report;
        };
        if share.giver == *target {
            (report.held, report.in_use) =
                (share.fraction, share.lent_to.is_some() || self.credited.is_some());
            if !report.in_use {
                share.contact = now;
            }
        } else if *is_reached && now >= share.contact + SILENCE_LIMIT && self.credited.is_none() {
            let borrower = share.lent_to.get_or_insert_with(|| target.clone());
            if borrower == target {
                report.lent = share.fraction;
                report.lent_for = share.ends.saturating_duration_since(now);
            }
        }
        report
    }

    fn ask(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        target: EntryContact,
        cost: f64,
        unreached: f64,
    ) -> UsageDecision {
        let report = self.report(now, organisation, &target, unreached);
        let (ahead, arbiter) = (self.ahead(cost), target.vm);
        UsageDecision::Ask { arbiter, request: UsageRequest { report, cost, ahead } }
    }

    /// Whether nobody renews the share: its giver is silent or no arbiter any more.
    fn is_orphaned(&self, silent: &BTreeSet<VmId>) -> bool {
        let is_lost = |vm: &VmId| silent.contains(vm) || !self.ranking.contains(vm);
        self.share.as_ref().is_some_and(|share| share.lent_to.is_none() && is_lost(&share.giver))
    }

    fn apply_share(&mut self, now: Instant, giver: &VmId, sent: Instant, fraction: Option<f64>) {
        self.credited = None;
        self.end_share(now);
        if let Some(share) = self.share.as_mut().filter(|share| share.giver == *giver) {
            share.contact = now;
            if sent < share.sent || share.lent_to.is_some() {
                return;
            }
        }
        let ends = sent + SHARE_TERM;
        if let Some(fraction) = fraction.filter(|_| now < ends) {
            let giver = giver.clone();
            self.share =
                Some(HeldShare { giver, fraction, sent, ends, contact: now, lent_to: None });
        }
    }

    /// Decides without an arbiter: credit is earned at the rate of the share, and nothing is spent in advance.
    fn spend_alone(&mut self, now: Instant, rate: f64, unreached: f64, cost: f64) -> UsageDecision {
        self.end_share(now);
        let (fraction, from) = match &self.share {
            Some(share) if share.lent_to.is_some() => (0.0, now),
            Some(share) => (share.fraction, share.contact + SILENCE_LIMIT),
            None => (unreached, self.credited.unwrap_or(now)),
        };
        if self.credited.is_none() {
            self.credit = 0.0;
        }
        let since = self.credited.map_or(from, |credited| credited.max(from));
        let earned = now.saturating_duration_since(since).as_secs_f64() * rate * fraction;
        self.credit = (self.credit + earned).min(rate.max(cost));
        self.credited = Some(now);
        if self.credit >= cost {
            self.credit -= cost;
            return UsageDecision::Granted;
        }
        let missing =
            (cost - self.credit) / (rate * fraction.max(unreached)).max(f64::MIN_POSITIVE);
        UsageDecision::Refused { retry_after: retry_after(missing.min(1.0)) }
    }

    /// Refuses without asking; the delays of successive refusals are spread.
    fn refuse_again(&mut self) -> UsageDecision {
        self.spread = (self.spread + SPREAD_STEP).fract();
        let delay = self.refusal_delay * (0.5 + self.spread);
        UsageDecision::Refused { retry_after: retry_after(delay) }
    }

    fn is_idle(&self, now: Instant) -> bool {
        now >= self.used + KEPT_TIME
    }
}

/// What this entry holds of all caps.
#[derive(Clone, Debug, Default)]
pub struct UsageHolder {
    caps: BTreeMap<OrganisationId, UsageLimit>,
    arbiters: BTreeSet<VmId>,
    /// All entries, with callers or not; at least 1 once it is set.
    entries: usize,
    /// Those used within [`SHARE_TERM`]; at most [`MAX_HELD`].
    held: BTreeMap<OrganisationId, HeldUsage>,
    /// When an arbiter has last replied; only entries of `arbiters`.
    replied: BTreeMap<VmId, Instant>,
    /// Arbiters without a reply; only entries of `arbiters`.
    silent: BTreeSet<VmId>,
    /// Units to give back by entry and organisation, for those that are held and have just been.
    returned: BTreeMap<VmId, BTreeMap<OrganisationId, f64>>,
}

impl UsageHolder {
    /// Replaces the caps, the entries among which arbiters are chosen and the number of all entries.
    pub fn configure(
        &mut self,
        now: Instant,
        caps: BTreeMap<OrganisationId, UsageLimit>,
        arbiters: BTreeSet<VmId>,
        entries: usize,
    ) {
        self.replied.retain(|vm, _| arbiters.contains(vm));
        self.silent.retain(|vm| arbiters.contains(vm));
        let has_moved = arbiters != self.arbiters;
        (self.arbiters, self.entries) = (arbiters, entries);
        self.held.retain(|organisation, _| caps.contains_key(organisation));
        for (organisation, usage) in &mut self.held {
            if self.caps.get(organisation) != caps.get(organisation) {
                // What was granted under another cap is not used under this one.
                (usage.prepaid, usage.credit, usage.refused_until) = (0.0, 0.0, now);
            }
            if has_moved {
                usage.ranking = ranking(organisation, &self.arbiters);
            }
        }
        self.caps = caps;
    }

    /// The cap of an organisation.
    pub fn cap(&self, organisation: &OrganisationId) -> Option<&UsageLimit> {
        self.caps.get(organisation)
    }

    /// The fraction of the rate that one entry spends when it has no share and reaches no arbiter. All
    /// entries have an even part of the whole rate as long as there are no arbiters.
    fn unreached(&self) -> f64 {
        let all = if self.arbiters.is_empty() { 1.0 } else { UNREACHED_FRACTION };
        all / self.entries.max(1) as f64
    }

    /// Decides about a request of `cost` units.
    pub fn decide(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        cost: f64,
    ) -> UsageDecision {
        if !self.caps.contains_key(organisation) {
            return UsageDecision::Unlimited;
        }
        if !self.held.contains_key(organisation) {
            if self.held.len() >= MAX_HELD {
                return UsageDecision::Refused { retry_after: SHARE_TERM };
            }
            let ranking = ranking(organisation, &self.arbiters);
            self.held.insert(organisation.clone(), HeldUsage::new(now, ranking));
        }
        if let Some(usage) = self.held.get_mut(organisation) {
            usage.record_demand(now, cost);
            if usage.prepaid >= cost && now < usage.prepaid_ends {
                usage.prepaid -= cost;
                return UsageDecision::Granted;
            }
            if now < usage.refused_until {
                return usage.refuse_again();
            }
        }
        self.ask(now, organisation, cost)
    }

    /// Asks the first entry by rank that is not silent, or decides without one.
    fn ask(&mut self, now: Instant, organisation: &OrganisationId, cost: f64) -> UsageDecision {
        let unreached = self.unreached();
        let (Some(usage), Some(cap)) =
            (self.held.get_mut(organisation), self.caps.get(organisation))
        else {
            return UsageDecision::Unlimited;
        };
        let Some(arbiter) = usage.ranking.iter().find(|vm| !self.silent.contains(*vm)).cloned()
        else {
            return usage.spend_alone(now, cap.rate, unreached, cost);
        };
        let target = EntryContact::new(now, arbiter, &self.replied);
        usage.ask(now, organisation, target, cost, unreached)
    }

    /// Records the reply to a request that was sent at `sent`.
    pub fn record_reply(
        &mut self,
        now: Instant,
        arbiter: &VmId,
        request: &UsageRequest,
        sent: Instant,
        reply: UsageReply,
    ) -> UsageDecision {
        self.record_contact(now, arbiter);
        let organisation = &request.report.organisation;
        let unreached = self.unreached();
        let (Some(usage), Some(cap)) =
            (self.held.get_mut(organisation), self.caps.get(organisation))
        else {
            return UsageDecision::Unlimited;
        };
        match reply {
            UsageReply::Granted { units, share } => {
                usage.apply_share(now, arbiter, sent, share);
                if usage.payer.as_ref() != Some(arbiter) {
                    give_back(&mut self.returned, organisation, usage);
                }
                usage.payer = Some(arbiter.clone());
                usage.prepaid += (units - request.cost).max(0.0);
                usage.prepaid_ends = now + PREPAID_TERM;
                usage.in_debt = false;
                UsageDecision::Granted
            }
            UsageReply::Refused { retry_after, in_debt, share } => {
                usage.apply_share(now, arbiter, sent, share);
                usage.refused_until = now + REFUSAL_TERM.min(retry_after);
                usage.refusal_delay = retry_after.as_secs_f64();
                usage.in_debt = in_debt;
                let borrower = usage.share.as_ref().and_then(|share| share.lent_to.as_ref());
                match borrower.filter(|vm| *vm != arbiter && !self.silent.contains(*vm)).cloned() {
                    Some(borrower) => {
                        let target = EntryContact::new(now, borrower, &self.replied);
                        usage.ask(now, organisation, target, request.cost, unreached)
                    }
                    None => UsageDecision::Refused { retry_after },
                }
            }
            // A cap that not all entries have yet does not bind.
            UsageReply::Uncapped => UsageDecision::Granted,
            UsageReply::NotArbiter => usage.spend_alone(now, cap.rate, unreached, request.cost),
        }
    }

    fn record_contact(&mut self, now: Instant, arbiter: &VmId) {
        if self.arbiters.contains(arbiter) {
            self.replied.insert(arbiter.clone(), now);
            self.silent.remove(arbiter);
        }
    }

    /// Records that a report had no reply.
    pub fn record_silence(&mut self, now: Instant, arbiter: &VmId) {
        let replied = self.replied.get(arbiter);
        let is_silent = replied.is_none_or(|replied| now >= *replied + SILENCE_LIMIT);
        if is_silent && self.arbiters.contains(arbiter) {
            self.silent.insert(arbiter.clone());
        }
    }

    /// Records that a request had no reply. The decision may be to ask another entry.
    pub fn record_failure(
        &mut self,
        now: Instant,
        arbiter: &VmId,
        request: &UsageRequest,
    ) -> UsageDecision {
        self.record_silence(now, arbiter);
        self.ask(now, &request.report.organisation, request.cost)
    }

    /// Records that a request that was granted has not run.
    pub fn not_run(&mut self, now: Instant, organisation: &OrganisationId, cost: f64) {
        if let Some(usage) = self.held.get_mut(organisation) {
            usage.prepaid += cost;
            usage.prepaid_ends = now + PREPAID_TERM;
        }
    }

    /// Charges a repeat of a request that has run, or may have. Returns whether it may run again.
    pub fn charge_repeat(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        cost: f64,
    ) -> bool {
        let Some(usage) = self.held.get_mut(organisation) else { return true };
        if usage.prepaid >= cost && now < usage.prepaid_ends {
            usage.prepaid -= cost;
            return true;
        }
        if usage.in_debt {
            return false;
        }
        if let Some(payer) = usage.payer.as_ref().or(usage.ranking.first()) {
            let owed = self.returned.entry(payer.clone()).or_default();
            *owed.entry(organisation.clone()).or_default() -= cost;
        }
        true
    }

    /// The reports that are due, by entry; to be called every 25 ms.
    pub fn due(&mut self, now: Instant) -> BTreeMap<VmId, Vec<ShareReport>> {
        let unreached = self.unreached();
        let mut due: BTreeMap<VmId, Vec<ShareReport>> = BTreeMap::new();
        for (organisation, usage) in &mut self.held {
            usage.end_share(now);
            let reached = usage.ranking.iter().find(|vm| !self.silent.contains(*vm)).cloned();
            if usage.is_orphaned(&self.silent)
                && let Some(borrower) = reached
            {
                // Others may need it, also when this entry does not. A first report finds who is reached.
                let target = EntryContact::new(now, borrower, &self.replied);
                if target.is_reached || now >= usage.reported + RENEWAL_PERIOD {
                    let report = usage.report(now, organisation, &target, 0.0);
                    if report.lent > 0.0 || !target.is_reached {
                        usage.reported = now;
                        due.entry(target.vm).or_default().push(report);
                    }
                }
            } else if usage.is_idle(now) {
                let own = usage.share.take_if(|share| share.lent_to.is_none());
                if let Some(share) = own {
                    let target = EntryContact { vm: share.giver, is_reached: true };
                    let mut report = usage.report(now, organisation, &target, 0.0);
                    (report.held, report.wanted) = (share.fraction, false);
                    due.entry(target.vm).or_default().push(report);
                }
                continue;
            }
            if now >= usage.reported + RENEWAL_PERIOD
                && let Some(share) = &usage.share
                && !self.silent.contains(&share.giver)
            {
                let giver = share.giver.clone();
                let target = EntryContact::new(now, giver, &self.replied);
                let report = usage.report(now, organisation, &target, unreached);
                due.entry(target.vm).or_default().push(report);
                usage.reported = now;
            }
            // Silent entries that come before the one that is asked are tried again.
            if now >= usage.probed + RENEWAL_PERIOD * 2 {
                let silent = usage.ranking.iter().take_while(|vm| self.silent.contains(*vm));
                for vm in silent.cloned().collect::<Vec<_>>() {
                    let is_giver = usage.share.as_ref().is_some_and(|share| share.giver == vm);
                    let mut report = ShareReport {
                        organisation: organisation.clone(),
                        held: 0.0,
                        in_use: true,
                        wanted: true,
                        lent: 0.0,
                        lent_for: Duration::ZERO,
                    };
                    if let Some(share) = usage.share.as_ref().filter(|_| is_giver) {
                        report.held = share.fraction;
                    }
                    due.entry(vm).or_default().push(report);
                }
                usage.probed = now;
            }
        }
        due
    }

    /// Records the reply to reports that were sent at `sent`.
    pub fn record_renewal(
        &mut self,
        now: Instant,
        arbiter: &VmId,
        sent: Instant,
        grants: impl IntoIterator<Item = ShareGrant>,
    ) {
        self.record_contact(now, arbiter);
        for ShareGrant { organisation, share } in grants {
            if let Some(usage) = self.held.get_mut(&organisation)
                && !usage.is_idle(now)
            {
                usage.apply_share(now, arbiter, sent, share);
            }
        }
    }

    /// Units to give back, by entry; negative ones were used in excess. Forgets the organisations that are
    /// not in use.
    pub fn returns(&mut self, now: Instant) -> BTreeMap<VmId, Vec<(OrganisationId, f64)>> {
        for (organisation, usage) in &mut self.held {
            if now >= usage.prepaid_ends {
                give_back(&mut self.returned, organisation, usage);
            }
        }
        self.held.retain(|_, usage| now < usage.used + SHARE_TERM);
        let returned = std::mem::take(&mut self.returned);
        returned.into_iter().map(|(vm, units)| (vm, units.into_iter().collect())).collect()
    }

    /// The number of organisations with state.
    pub fn accounts(&self) -> usize {
        self.held.len()
    }
}

/// Moves what was granted in advance to what is given back.
fn give_back(
    returned: &mut BTreeMap<VmId, BTreeMap<OrganisationId, f64>>,
    organisation: &OrganisationId,
    usage: &mut HeldUsage,
) {
    let units = std::mem::take(&mut usage.prepaid);
    if let Some(payer) = usage.payer.as_ref().filter(|_| units > 0.0) {
        let entry = returned.entry(payer.clone()).or_default();
        *entry.entry(organisation.clone()).or_default() += units;
    }
}

/// The entries to ask for units of an organisation, its arbiter first.
fn ranking(organisation: &OrganisationId, arbiters: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut ranked: Vec<&VmId> = arbiters.iter().collect();
    ranked.sort_unstable_by_key(|vm| Reverse(rank(organisation, vm)));
    ranked.into_iter().take(MAX_RANKS).cloned().collect()
}
