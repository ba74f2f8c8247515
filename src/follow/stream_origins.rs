//! Which service and software version began each stream, for callers that resume it at another entry.
//!
//! While a service has servers of several versions, an entry reports the streams that it begins to the
//! control VM that it follows, which passes a copy to one other: neither the end of the entry nor that of
//! one control VM loses them. Nothing is logged by the replicas, since a stream that is not known is
//! refused, and all expire after seconds.

use {
    crate::{
        ids::{RequestId, ServiceId, SoftwareVersion},
        policy::software_history::{STREAM_TIME, VersionState},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Identifies a stream by the request whose response brought its first event.
pub type StreamKey = u64;

/// Maximum number of streams of a table: those that begin in [`STREAM_TIME`] at the design size, at one
/// of seven control VMs with their copies. The oldest ones are dropped.
const MAX_STREAMS: usize = 131_072;
/// Maximum number of origins; older ones are dropped with their streams.
const MAX_ORIGINS: usize = 4_096;

/// The key of the stream that a request has begun.
pub fn stream_key(request: &RequestId) -> StreamKey {
    xxh3_64(request.as_bytes())
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The software version of the server.
    pub software: SoftwareVersion,
}

/// Streams that began at the same origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The origin.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// What a control VM knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Where it began, if that is known.
    pub origin: Option<StreamOrigin>,
    /// The versions of the service that the caller's request would be sent to.
    pub versions: VersionState,
}

/// The origins of streams that can still be resumed.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// At most [`MAX_STREAMS`]: the number of the origin and the last report.
    streams: BTreeMap<StreamKey, (u32, Instant)>,
    /// The reports in order of time; a stream that was reported again has several.
    reports: VecDeque<(Instant, StreamKey)>,
    /// At most [`MAX_ORIGINS`], by number.
    origins: BTreeMap<u32, StreamOrigin>,
    numbers: BTreeMap<StreamOrigin, u32>,
    next_number: u32,
}

impl OriginTable {
    /// Records the origin of a stream.
    pub fn record(&mut self, now: Instant, stream: StreamKey, origin: &StreamOrigin) {
        self.expire(now);
        let number = self.number_of(origin);
        self.streams.insert(stream, (number, now));
        self.reports.push_back((now, stream));
        while self.streams.len() > MAX_STREAMS || self.reports.len() > 2 * MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// The origin of a stream, if it is known.
    pub fn find(&self, now: Instant, stream: StreamKey) -> Option<&StreamOrigin> {
        let (number, reported_at) = self.streams.get(&stream)?;
        let is_current = now.saturating_duration_since(*reported_at) < STREAM_TIME;
        self.origins.get(number).filter(|_| is_current)
    }

    /// All streams, by origin.
    pub fn all(&self, now: Instant) -> Vec<OriginReport> {
        let mut reports: BTreeMap<u32, Vec<StreamKey>> = BTreeMap::new();
        for (stream, (number, reported_at)) in &self.streams {
            if now.saturating_duration_since(*reported_at) < STREAM_TIME {
                reports.entry(*number).or_default().push(*stream);
            }
        }
        let origin = |number| self.origins.get(&number).cloned();
        let reports = reports.into_iter();
        reports
            .filter_map(|(number, streams)| Some(OriginReport { origin: origin(number)?, streams }))
            .collect()
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn number_of(&mut self, origin: &StreamOrigin) -> u32 {
        if let Some(number) = self.numbers.get(origin) {
            return *number;
        }
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.origins.insert(number, origin.clone());
        self.numbers.insert(origin.clone(), number);
        if self.origins.len() > MAX_ORIGINS
            && let Some((_, oldest)) = self.origins.pop_first()
        {
            self.numbers.remove(&oldest);
        }
        number
    }

    fn expire(&mut self, now: Instant) {
        while self.reports.front().is_some_and(|(at, _)| now - *at >= STREAM_TIME) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, stream)) = self.reports.pop_front() else { return };
        // A later report of the stream keeps it.
        if self.streams.get(&stream).is_some_and(|(_, reported_at)| *reported_at <= at) {
            self.streams.remove(&stream);
        }
    }
}
