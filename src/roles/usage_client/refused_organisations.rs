//! Tells when the requests of an organisation begin to be refused for its usage limit, and when that ends.

use {
    crate::{ids::OrganisationId, observe::events, policy::usage_limits::UsageLimit},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// After this time without a refusal an organisation counts as within its cap: longer than most delays after
/// which callers try again.
const REFUSAL_GAP: Duration = Duration::from_secs(3);
/// Maximum number of organisations whose refusals are logged at a time.
const MAX_REFUSED: usize = 256;

/// A time in which requests of an organisation are refused.
struct RefusalSpan {
    began: Instant,
    last: Instant,
    cap: UsageLimit,
    /// Units paid and refused at this entry since it began.
    paid: f64,
    refused: f64,
}

/// The organisations whose requests this entry refuses.
#[derive(Default)]
pub(super) struct RefusedOrganisations {
    /// At most [`MAX_REFUSED`]; others are refused without these records.
    spans: BTreeMap<OrganisationId, RefusalSpan>,
}

impl RefusedOrganisations {
    pub(super) fn record_paid(&mut self, organisation: &OrganisationId, cost: f64) {
        if let Some(span) = self.spans.get_mut(organisation) {
            span.paid += cost;
        }
    }

    pub(super) fn record_refused(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        cap: &UsageLimit,
        cost: f64,
    ) {
        if let Some(span) = self.spans.get_mut(organisation) {
            (span.last, span.cap) = (now, *cap);
            span.refused += cost;
        } else if self.spans.len() < MAX_REFUSED {
            log::warn!(organisation = organisation.as_str(), rate = cap.rate, burst = cap.burst,
                unit:? = cap.unit, units = cost; "{}", events::CAP_EXCEEDED);
            let span = RefusalSpan { began: now, last: now, cap: *cap, paid: 0.0, refused: cost };
            self.spans.insert(organisation.clone(), span);
        }
    }

    /// Ends the spans of organisations that are not refused any more.
    pub(super) fn expire(&mut self, now: Instant) {
        self.end(|span| now.saturating_duration_since(span.last) >= REFUSAL_GAP);
    }

    /// Ends all spans, since there are no caps any more.
    pub(super) fn end_all(&mut self) {
        self.end(|_span| true);
    }

    fn end(&mut self, has_ended: impl Fn(&RefusalSpan) -> bool) {
        self.spans.retain(|organisation, span| {
            let has_ended = has_ended(span);
            if has_ended {
                let length = span.last.saturating_duration_since(span.began);
                log::info!(organisation = organisation.as_str(), rate = span.cap.rate,
                    burst = span.cap.burst, unit:? = span.cap.unit, paid = span.paid,
                    refused = span.refused, duration_ms = length.as_millis() as u64;
                    "{}", events::CAP_KEPT);
            }
            !has_ended
        });
    }
}
