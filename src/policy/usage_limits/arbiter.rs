//! The token buckets of the organisations of which this entry is the usage arbiter, and the shares of the
//! entries that use them.
//!
//! The bucket of an arbiter refills at the whole rate but for the shares that their holders spend. Another
//! entry, or an arbiter that may still have a predecessor, has only what is lent to it: its bucket refills at
//! the sum of the shares that holders have lent.

use {
    super::{
        AHEAD_TIME, CONFIRM_TERM, SHARE_TERM, SILENCE_LIMIT, ShareGrant, ShareReport, UsageLimit,
        UsageReply, UsageRequest, choose_usage_arbiter, retry_after,
    },
    crate::ids::{OrganisationId, VmId},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Maximum sets of arbiters that are remembered. If they change more often, an arbiter takes itself for new.
const MAX_FORMER_SETS: usize = 32;

/// A process that has just started has no whole rate for this time, in which the entries that are in touch
/// report the shares that they have of its predecessor. It is short, since nobody is served meanwhile if all
/// entries have started.
const START_TERM: Duration = Duration::from_secs(1);

/// Maximum entries with shares of one organisation; others are served without.
const MAX_SHARES: usize = 4096;

/// Time constant, in seconds, in which the demand of an entry is forgotten when shares are fixed.
const DEMAND_MEMORY: f64 = 2.0;

/// A refused request's part of the backlog is gone by this multiple of the time that the rate needs for it,
/// at most: not every caller returns.
const MAX_BACKLOG: f64 = 8.0;

/// The share of one entry.
#[derive(Clone, Debug)]
struct UsageShare {
    /// The most that the holder may believe to have; all of them add up to at most 1.
    fraction: f64,
    /// What was granted last. The holder may not have got the reply.
    granted: f64,
    /// When the holder was last heard of.
    heard: Instant,
    /// The holder does not use the fraction later than this.
    ends: Instant,
    /// Whether the holder has said that it uses the fraction without this arbiter.
    in_use: bool,
    /// A fraction of another arbiter that the holder has lent to this one.
    lent: f64,
    /// When the lent fraction ends.
    lent_ends: Instant,
    /// Units asked for, decaying with [`DEMAND_MEMORY`].
    demand: f64,
}

impl UsageShare {
    fn new(now: Instant) -> Self {
        UsageShare {
            fraction: 0.0,
            granted: 0.0,
            heard: now,
            ends: now,
            in_use: false,
            lent: 0.0,
            lent_ends: now,
            demand: 0.0,
        }
    }

    /// When the share ceases to be this arbiter's to spend.
    fn spent_until(&self) -> Instant {
        if self.in_use { self.heard } else { self.ends.min(self.heard + SILENCE_LIMIT) }
    }

    fn has_ended(&self, now: Instant) -> bool {
        now >= self.ends && now >= self.lent_ends && now >= self.heard + SHARE_TERM
    }
}

/// The length of the part of a span that lies in another, in seconds.
fn overlap(span: (Instant, Instant), other: (Instant, Instant)) -> f64 {
    let (from, to) = (span.0.max(other.0), span.1.min(other.1));
    to.saturating_duration_since(from).as_secs_f64()
}

/// What of the rate of an organisation is this arbiter's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RateHold {
    /// All but the shares that their holders spend.
    Whole,
    /// The shares that holders report or lend. A new arbiter adopts them until a former one's have ended.
    Shares { adopts: bool },
}

/// The token bucket of one organisation.
#[derive(Clone, Debug)]
struct UsageAccount {
    /// Units at `updated`; at most the burst. It may be negative.
    balance: f64,
    updated: Instant,
    /// Units that were refused and whose callers may return.
    backlog: f64,
    used: Instant,
    /// What of the rate was this arbiter's at `updated`.
    hold: RateHold,
    /// Shares that a new arbiter has from holders which need them no more, until it has the whole rate.
    relinquished: f64,
    /// At most [`MAX_SHARES`].
    shares: BTreeMap<VmId, UsageShare>,
}

impl UsageAccount {
    /// `idle` is the time in which nobody can have used the limit; a term if all would have told of it.
    fn new(now: Instant, cap: &UsageLimit, hold: RateHold, idle: Duration) -> Self {
        let earned = cap.rate * idle.min(SHARE_TERM).as_secs_f64();
        let balance = if hold == RateHold::Whole { cap.burst.min(earned) } else { 0.0 };
        let (backlog, relinquished, shares) = (0.0, 0.0, BTreeMap::new());
        UsageAccount { balance, updated: now, backlog, used: now, hold, relinquished, shares }
    }

    /// Adds what has been earned until now.
    fn refill(&mut self, now: Instant, cap: &UsageLimit, hold: RateHold) {
        let span = (self.updated, now.max(self.updated));
        let elapsed = overlap(span, span);
        let is_whole = self.hold == RateHold::Whole && hold == RateHold::Whole;
        let mut earned = if is_whole { elapsed } else { elapsed * self.relinquished };
        for share in self.shares.values() {
            if is_whole {
                earned -= share.fraction * overlap(span, (share.spent_until(), share.ends));
            } else {
                earned += share.fraction * overlap(span, (self.updated, share.spent_until()));
                earned += share.lent * overlap(span, (self.updated, share.lent_ends));
            }
        }
        self.balance = (self.balance + cap.rate * earned.max(0.0)).min(cap.burst);
        self.backlog = (self.backlog - cap.rate * elapsed).max(0.0);
        let kept = (-elapsed / DEMAND_MEMORY).exp();
        self.shares.values_mut().for_each(|share| share.demand *= kept);
        self.shares.retain(|_, share| !share.has_ended(now));
        if hold != (RateHold::Shares { adopts: true }) {
            self.relinquished = 0.0;
        }
        (self.updated, self.hold) = (span.1, hold);
    }

    /// Records what a holder asks for and says of its share, and grants it another if the whole rate is this
    /// arbiter's.
    fn record(
        &mut self,
        now: Instant,
        holder: &VmId,
        report: &ShareReport,
        demand: f64,
    ) -> Option<f64> {
        if !report.wanted {
            self.shares.remove(holder);
            if self.hold == (RateHold::Shares { adopts: true }) {
                self.relinquished += report.held;
            }
            return None;
        }
        if !self.shares.contains_key(holder) && self.shares.len() >= MAX_SHARES {
            return None;
        }
        let is_known = self.shares.contains_key(holder);
        let share = self.shares.entry(holder.clone()).or_insert_with(|| UsageShare::new(now));
        share.heard = now;
        share.demand += demand;
        if report.lent > 0.0 {
            (share.lent, share.lent_ends) = (report.lent, now + report.lent_for.min(SHARE_TERM));
        }
        if is_known && report.held == share.granted {
            share.fraction = share.granted;
        }
        // What the holder says that it uses, or has lent to others, stays as it is until it ends.
        share.in_use = report.in_use && now < share.ends;
        if share.in_use {
            return None;
        }
        match self.hold {
            RateHold::Whole => self.grant_share(now, holder),
            RateHold::Shares { adopts } => {
                share.fraction = share.fraction.min(report.held);
                if !adopts || report.in_use {
                    return None;
                }
                // Nobody else renews what a former arbiter granted. What others need no more goes to those that
                // ask, since they keep it if this arbiter fails, too.
                let more = if demand > 0.0 { self.relinquished } else { 0.0 };
                self.relinquished -= more;
                share.fraction = report.held.max(share.lent) + more;
                (share.lent, share.granted) = (0.0, share.fraction);
                share.ends = now + SHARE_TERM;
                Some(share.fraction).filter(|fraction| *fraction > 0.0)
            }
        }
    }

    /// Grants a holder its part of the demand, as far as the shares of others leave room.
    fn grant_share(&mut self, now: Instant, holder: &VmId) -> Option<f64> {
        let demand: f64 = self.shares.values().map(|share| share.demand).sum();
        let is_other = |vm: &VmId, share: &UsageShare| vm != holder && now < share.ends;
        let others = self.shares.iter().filter(|(vm, share)| is_other(vm, share));
        let room = (1.0 - others.map(|(_, share)| share.fraction).sum::<f64>()).max(0.0);
        let share = self.shares.get_mut(holder)?;
        let part = if demand > 0.0 { share.demand / demand } else { 0.0 };
        share.granted = part.min(room);
        // An earlier grant may have been lost, or may arrive late.
        let former = if now < share.ends { share.fraction } else { 0.0 };
        share.fraction = former.max(share.granted).min(room);
        share.ends = now + SHARE_TERM;
        Some(share.granted)
    }

    fn acquire(&mut self, now: Instant, cap: &UsageLimit, request: &UsageRequest) -> Option<f64> {
        if self.balance <= 0.0 {
            return None;
        }
        // What is granted in advance leaves most for the requests of others.
        let rate = cap.rate * AHEAD_TIME.as_secs_f64();
        let spare = ((self.balance - request.cost) / 4.0).min(rate).max(0.0);
        let units = request.cost + request.ahead.clamp(0.0, spare);
        self.balance -= units;
        self.used = now;
        Some(units)
    }
}

/// The entries that were arbiters until some time.
#[derive(Clone, Debug)]
struct FormerSet {
    arbiters: BTreeSet<VmId>,
    until: Instant,
}

/// All organisations of which this entry is the arbiter.
#[derive(Clone, Debug)]
pub struct UsageArbiter {
    own: VmId,
    caps: BTreeMap<OrganisationId, UsageLimit>,
    arbiters: BTreeSet<VmId>,
    /// Those of the last [`SHARE_TERM`], the newest last; at most [`MAX_FORMER_SETS`].
    former: VecDeque<FormerSet>,
    /// When this process first knew the arbiters.
    started: Option<Instant>,
    /// The arbiters before this time are not remembered.
    known_since: Option<Instant>,
    confirmed: Option<Instant>,
    /// Those with a cap that were used within [`SHARE_TERM`].
    accounts: BTreeMap<OrganisationId, UsageAccount>,
}

impl UsageArbiter {
    /// Creates the arbiter that this entry is.
    pub fn new(own: VmId) -> Self {
        UsageArbiter {
            own,
            caps: BTreeMap::new(),
            arbiters: BTreeSet::new(),
            former: VecDeque::new(),
            started: None,
            known_since: None,
            confirmed: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Replaces the caps and the entries among which arbiters are chosen.
    pub fn configure(
        &mut self,
        now: Instant,
        caps: BTreeMap<OrganisationId, UsageLimit>,
        arbiters: BTreeSet<VmId>,
    ) {
        self.settle_all(now);
        self.started.get_or_insert(now);
        if arbiters != self.arbiters {
            let arbiters = std::mem::replace(&mut self.arbiters, arbiters);
            self.former.push_back(FormerSet { arbiters, until: now });
        }
        while self.former.len() > MAX_FORMER_SETS
            && let Some(forgotten) = self.former.pop_front()
        {
            self.known_since = Some(forgotten.until);
        }
        // Before there were arbiters nobody had shares.
        self.former.retain(|set| !set.arbiters.is_empty() && now < set.until + SHARE_TERM);
        self.accounts.retain(|organisation, account| {
            let Some(cap) = caps.get(organisation) else { return false };
            account.balance = account.balance.min(cap.burst);
            if let Some(before) = self.caps.get(organisation) {
                // A lower rate leaves the time until there is room as it is.
                let same_unit = before.unit == cap.unit;
                let ratio = if same_unit { (cap.rate / before.rate).min(1.0) } else { 0.0 };
                account.balance = account.balance.max(0.0) + account.balance.min(0.0) * ratio;
                account.backlog *= ratio;
            }
            true
        });
        self.caps = caps;
    }

    /// Records that the control VMs named this entry in a reply to a request of this time.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|confirmed| now < confirmed + CONFIRM_TERM)
    }

    /// What of an organisation's rate is this entry's: the whole if nobody but it and the holders of its
    /// shares can spend it.
    fn hold(&self, now: Instant, organisation: &OrganisationId) -> RateHold {
        let is_own = |arbiters: &BTreeSet<VmId>| {
            choose_usage_arbiter(organisation, arbiters) == Some(&self.own)
        };
        let has_passed = |since: Instant, term: Duration| now >= since + term;
        let adopts = self.is_confirmed(now) && is_own(&self.arbiters);
        let is_settled = self.started.is_some_and(|since| has_passed(since, START_TERM))
            && self.known_since.is_none_or(|since| has_passed(since, SHARE_TERM))
            && (self.former.iter())
                .all(|set| has_passed(set.until, SHARE_TERM) || is_own(&set.arbiters));
        if adopts && is_settled { RateHold::Whole } else { RateHold::Shares { adopts } }
    }

    fn settle_all(&mut self, now: Instant) {
        let mut accounts = std::mem::take(&mut self.accounts);
        for (organisation, account) in &mut accounts {
            if let Some(cap) = self.caps.get(organisation) {
                account.refill(now, cap, self.hold(now, organisation));
            }
        }
        self.accounts = accounts;
    }

    /// The account of an organisation with a cap, with what it has earned until now.
    fn account(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
    ) -> Option<(&mut UsageAccount, UsageLimit)> {
        let cap = *self.caps.get(organisation)?;
        let hold = self.hold(now, organisation);
        let account = self.accounts.entry(organisation.clone());
        let idle = self.started.map_or(Duration::ZERO, |started| now - started);
        let account = account.or_insert_with(|| UsageAccount::new(now, &cap, hold, idle));
        account.refill(now, &cap, hold);
        Some((account, cap))
    }

    /// Requests units; `chance` is random, from 0 (inclusive) to 1 (exclusive).
    pub fn acquire(
        &mut self,
        now: Instant,
        holder: &VmId,
        request: &UsageRequest,
        chance: f64,
    ) -> UsageReply {
        let report = &request.report;
        let Some((account, cap)) = self.account(now, &report.organisation) else {
            let is_confirmed = self.is_confirmed(now);
            return if is_confirmed { UsageReply::Uncapped } else { UsageReply::NotArbiter };
        };
        let units = account.acquire(now, &cap, request);
        let share = account.record(now, holder, report, request.cost + request.ahead);
        if let Some(units) = units {
            return UsageReply::Granted { units, share };
        }
        let missing = -account.balance + chance * (account.backlog + request.cost);
        account.backlog = (account.backlog + request.cost).min(MAX_BACKLOG * cap.rate);
        account.used = now;
        let in_debt = account.balance < -cap.rate;
        UsageReply::Refused { retry_after: retry_after(missing / cap.rate), in_debt, share }
    }

    /// Records the shares of a holder and returns those that it has from now on.
    pub fn renew(
        &mut self,
        now: Instant,
        holder: &VmId,
        reports: impl IntoIterator<Item = ShareReport>,
    ) -> Vec<ShareGrant> {
        let mut grants = Vec::new();
        for report in reports {
            let organisation = report.organisation.clone();
            let is_needed = report.held > 0.0 || report.lent > 0.0;
            let mut share = None;
            if (is_needed || self.accounts.contains_key(&organisation))
                && let Some((account, _)) = self.account(now, &organisation)
            {
                share = account.record(now, holder, &report, 0.0);
            }
            grants.push(ShareGrant { organisation, share });
        }
        grants
    }

    /// Takes back units that were granted and not used; negative ones were used in excess.
    pub fn give_back(
        &mut self,
        now: Instant,
        units: impl IntoIterator<Item = (OrganisationId, f64)>,
    ) {
        for (organisation, units) in units {
            if (units < 0.0 || self.accounts.contains_key(&organisation))
                && let Some((account, cap)) = self.account(now, &organisation)
            {
                account.balance = (account.balance + units).min(cap.burst);
            }
        }
    }

    /// Ends all shares of an entry that stops.
    pub fn release(&mut self, now: Instant, holder: &VmId) {
        self.settle_all(now);
        for account in self.accounts.values_mut() {
            account.shares.remove(holder);
        }
    }

    /// Forgets the organisations that are not in use; to be called once a second.
    pub fn expire(&mut self, now: Instant) {
        self.settle_all(now);
        let is_idle = |account: &UsageAccount| {
            now >= account.used + SHARE_TERM && account.shares.is_empty() && account.balance >= 0.0
        };
        self.accounts.retain(|_, account| !is_idle(account));
    }

    /// The number of organisations with state.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}
