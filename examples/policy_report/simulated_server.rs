//! Simulation of a backend server: slots, chunked prefill, decode, prefix cache and crashes.

use {
    super::prefix_cache::PrefixCache,
    oleandermount::{ids::AttemptId, policy::PrefixLevel},
    std::{collections::BTreeMap, time::Duration},
};

/// Prompt tokens of one prefill chunk. After each chunk the engine selects the next request.
const CHUNK_TOKENS: u32 = 2_048;
/// Tokens between two progress events of a stream.
const PROGRESS_TOKENS: u32 = 32;
/// Relative slowdown of prefill by each running stream.
const PREFILL_SLOWDOWN: f64 = 0.02;
/// Time between two tokens of a single running stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(18);
/// Increase of the time between two tokens by each further stream.
const INTERVAL_INCREMENT: Duration = Duration::from_micros(700);

/// Configured properties of a server.
#[derive(Clone, Debug)]
pub struct ServerProperties {
    /// Maximum number of concurrently running requests.
    pub slots: usize,
    /// Prefill rate of an otherwise idle server, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Speed of prefill and decode as a factor; 1 is the normal speed.
    pub speed: f64,
}

/// One attempt at a server.
#[derive(Clone, Debug)]
pub struct ServerJob {
    /// Attempt that the server's events refer to.
    pub attempt: AttemptId,
    /// Priority; jobs with lower values are served first.
    pub priority: u32,
    /// Prefix levels of the prompt; the last one covers the whole prompt.
    pub levels: Vec<PrefixLevel>,
    /// Total number of tokens to generate, including those before a resumption.
    pub output_tokens: u32,
    /// Tokens that the caller has already received from an earlier attempt.
    pub resume_after: u32,
    /// Run time of a service call at normal speed; none for a model request. A service call has
    /// neither prefill nor stream.
    pub service_time: Option<Duration>,
    /// Whether the job crashes the server at the end of its prefill.
    pub poison: bool,
}

/// Event of an attempt that a server reports to the daemon.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// The prefill is complete: `cached` of `prompt` tokens came from the cache. `computed_levels`
    /// holds the hash and the computed tokens of each level that was not cached as a whole.
    FirstToken { attempt: AttemptId, cached: u32, prompt: u32, computed_levels: Vec<(u64, u32)> },
    /// The server generated `tokens` more tokens.
    Progress { attempt: AttemptId, tokens: u32 },
    /// The answer is complete.
    Finished { attempt: AttemptId, cached: u32, output: u32 },
    /// The attempt crashed the server.
    Crashed { attempt: AttemptId },
}

/// Priority and arrival number.
type QueueKey = (u32, u64);

struct PrefillState {
    job: ServerJob,
    cached: u32,
    remaining: u32,
}

struct StreamState {
    job: ServerJob,
    cached: u32,
    interval: Duration,
    remaining: u32,
    progress_tokens: u32,
    next_event_at: Duration,
}

/// State of a backend server in virtual time.
pub struct SimulatedServer {
    /// Current incarnation; starts at the number given to [`SimulatedServer::new`] and grows by one
    /// with each crash.
    pub incarnation: u64,
    /// Whether the server accepts connections; false from a crash to the restart.
    pub alive: bool,
    /// Properties of the server; a fault may change `speed`.
    pub properties: ServerProperties,
    /// Prefix cache of the server.
    pub cache: PrefixCache,
    waiting: BTreeMap<QueueKey, ServerJob>,
    prefilling: BTreeMap<QueueKey, PrefillState>,
    streams: BTreeMap<AttemptId, StreamState>,
    /// Running prefill chunk: the job's key, the chunk's tokens and its end.
    chunk: Option<(QueueKey, u32, Duration)>,
    arrivals: u64,
}

impl SimulatedServer {
    /// Creates an idle server with an empty cache.
    pub fn new(properties: ServerProperties, incarnation: u64) -> Self {
        SimulatedServer {
            incarnation,
            alive: true,
            cache: PrefixCache::new(properties.cache_tokens),
            properties,
            waiting: BTreeMap::new(),
            prefilling: BTreeMap::new(),
            streams: BTreeMap::new(),
            chunk: None,
            arrivals: 0,
        }
    }

    /// Queues a job. Slots and prefill are assigned by priority, then by arrival.
    pub fn accept(&mut self, now: Duration, job: ServerJob) -> Vec<ServerEvent> {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        self.advance(now)
    }

    /// Removes an attempt from the queue, prefill or streams. Its running prefill chunk still takes
    /// its time, and the result is discarded.
    pub fn cancel(&mut self, now: Duration, attempt: AttemptId) -> Vec<ServerEvent> {
        self.waiting.retain(|_, job| job.attempt != attempt);
        self.prefilling.retain(|_, state| state.job.attempt != attempt);
        self.streams.remove(&attempt);
        self.advance(now)
    }

    /// Ends the current incarnation and returns the attempts that are lost with it.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        let lost = self
            .waiting
            .values()
            .map(|job| job.attempt)
            .chain(self.prefilling.values().map(|state| state.job.attempt))
            .chain(self.streams.keys().copied())
            .collect();
        *self = SimulatedServer::new(self.properties.clone(), self.incarnation + 1);
        self.alive = false;
        lost
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.prefilling.len() + self.streams.len()
    }

    /// Returns the number of waiting requests and the prompt tokens that are still to be computed,
    /// those of running requests included.
    pub fn backlog(&self) -> (usize, u64) {
        let waiting: u64 = self
            .waiting
            .values()
            .flat_map(|job| job.levels.last())
            .map(|l| u64::from(l.tokens))
            .sum();
        let prefilling: u64 =
            self.prefilling.values().map(|state| u64::from(state.remaining)).sum();
        (self.waiting.len(), waiting + prefilling)
    }

    /// Returns the time at which [`SimulatedServer::advance`] is due; none for an idle server.
    pub fn next_event(&self) -> Option<Duration> {
        let stream = self.streams.values().map(|stream| stream.next_event_at).min();
        self.chunk.as_ref().map(|chunk| chunk.2).into_iter().chain(stream).min()
    }

    /// Processes all events that are due at `now`.
    pub fn advance(&mut self, now: Duration) -> Vec<ServerEvent> {
        let mut events = self.advance_streams(now);
        events.extend(self.finish_chunk(now));
        self.admit_jobs(now);
        self.start_chunk(now);
        events
    }

    fn admit_jobs(&mut self, now: Duration) {
        while self.running() < self.properties.slots {
            let Some((queue_key, job)) = self.waiting.pop_first() else { return };
            match job.service_time {
                Some(time) => {
                    let next_event_at = now + time.div_f64(self.properties.speed);
                    let state = StreamState {
                        job,
                        cached: 0,
                        interval: time,
                        remaining: 1,
                        progress_tokens: 1,
                        next_event_at,
                    };
                    self.streams.insert(state.job.attempt, state);
                }
                None => {
                    let state = PrefillState { cached: u32::MAX, remaining: 0, job };
                    self.prefilling.insert(queue_key, state);
                }
            }
        }
    }

    fn start_chunk(&mut self, now: Duration) {
        if self.chunk.is_some() {
            return;
        }
        let streams = self.streams.len() as f64;
        let Some((queue_key, state)) = self.prefilling.iter_mut().next() else { return };
        if state.cached == u32::MAX {
            let prompt = state.job.levels.last().map_or(0, |level| level.tokens);
            // The last prompt token is always computed, since it yields the first token of the
            // answer.
            state.cached = self.cache.hit(&state.job.levels).min(prompt.saturating_sub(1));
            state.remaining = prompt - state.cached + state.job.resume_after;
        }
        let tokens = state.remaining.min(CHUNK_TOKENS);
        let rate = self.properties.prefill_rate * self.properties.speed
            / (1.0 + PREFILL_SLOWDOWN * streams);
        self.chunk =
            Some((*queue_key, tokens, now + Duration::from_secs_f64(f64::from(tokens) / rate)));
    }

    fn finish_chunk(&mut self, now: Duration) -> Vec<ServerEvent> {
        let Some((queue_key, tokens, _)) = self.chunk.take_if(|chunk| chunk.2 <= now) else {
            return Vec::new();
        };
        let Some(state) = self.prefilling.get_mut(&queue_key) else { return Vec::new() };
        state.remaining -= tokens;
        if state.remaining > 0 {
            return Vec::new();
        }
        let state =
            self.prefilling.remove(&queue_key).expect("the prefill was found by the same key");
        if state.job.poison {
            return vec![ServerEvent::Crashed { attempt: state.job.attempt }];
        }
        self.start_stream(now, state)
    }

    fn start_stream(&mut self, now: Duration, state: PrefillState) -> Vec<ServerEvent> {
        let PrefillState { job, cached, .. } = state;
        let mut parent_tokens = 0;
        let mut computed_levels = Vec::new();
        for level in &job.levels {
            if level.tokens > cached {
                computed_levels.push((level.hash, level.tokens - parent_tokens.max(cached)));
            }
            parent_tokens = level.tokens;
        }
        self.cache.store(&job.levels);
        let remaining = job.output_tokens.saturating_sub(job.resume_after + 1);
        let interval = (TOKEN_INTERVAL + INTERVAL_INCREMENT * self.streams.len() as u32)
            .div_f64(self.properties.speed);
        let progress_tokens = remaining.min(PROGRESS_TOKENS);
        let attempt = job.attempt;
        let stream = StreamState {
            job,
            cached,
            interval,
            remaining,
            progress_tokens,
            next_event_at: now + interval * progress_tokens,
        };
        self.streams.insert(attempt, stream);
        vec![ServerEvent::FirstToken { attempt, cached, prompt: parent_tokens, computed_levels }]
    }

    fn advance_streams(&mut self, now: Duration) -> Vec<ServerEvent> {
        let mut events = Vec::new();
        for (attempt, stream) in &mut self.streams {
            if stream.next_event_at > now {
                continue;
            }
            stream.remaining -= stream.progress_tokens;
            if stream.job.service_time.is_none() && stream.remaining > 0 {
                events.push(ServerEvent::Progress {
                    attempt: *attempt,
                    tokens: stream.progress_tokens,
                });
                stream.progress_tokens = stream.remaining.min(PROGRESS_TOKENS);
                stream.next_event_at = now + stream.interval * stream.progress_tokens;
            } else {
                events.push(ServerEvent::Finished {
                    attempt: *attempt,
                    cached: stream.cached,
                    output: stream.job.output_tokens,
                });
            }
        }
        self.streams.retain(|_, stream| stream.next_event_at > now);
        events
    }
}
