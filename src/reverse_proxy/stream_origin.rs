//! Where the stream that a caller resumes has begun.

use {
    super::dialect::ResumedStream,
    crate::{
        follow::stream_origins::StreamOrigin,
        ids::{RequestId, ServiceId, SoftwareVersion},
    },
    futures::future::BoxFuture,
    std::sync::Arc,
};

/// At which servers a stream can go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeTarget {
    /// At all: nothing is recorded of where streams begin.
    AnyServer,
    /// Only at those of this version, the only one that is listed.
    OnlyVersion(SoftwareVersion),
    /// Only at those of its origin.
    Origin(StreamOrigin),
    /// That is not known, so that it cannot go on.
    Unknown,
}

/// Knows where streams have begun.
pub trait OriginFinder: Send + Sync {
    /// Records where the stream of a request begins; called again whenever it goes on.
    fn record(&self, request: &RequestId, origin: StreamOrigin);

    /// Finds out where a stream can go on that is resumed by a request to `service`.
    fn find(
        self: Arc<Self>,
        service: ServiceId,
        resumed: ResumedStream,
    ) -> BoxFuture<'static, ResumeTarget>;
}
