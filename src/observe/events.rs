//! What is logged of decisions and changes of belief: each event's name once, for who writes it and
//! for who reads it.
//!
//! Fields bear the same name and unit in all records: `request_id`, `server` and `peer` are names,
//! `document` the number of the configuration that was in force, `weights` a version of weights,
//! `sent_to` the servers that may have begun the request, `expected_hit` prompt tokens, and `…_ms`
//! milliseconds.

/// A request got its final refusal. `reason` is the one in the measures.
pub const REQUEST_REFUSED: &str = "request refused";
/// A request goes to a backend server, with what that was decided by.
pub const REQUEST_SENT: &str = "request sent";
/// One sending of a request failed; `failure` says what is known of it.
pub const ATTEMPT_FAILED: &str = "attempt failed";
/// A whole answer was passed on.
pub const ANSWER_COMPLETED: &str = "answered whole";
/// A stream was passed on to its end.
pub const STREAM_COMPLETED: &str = "stream answered whole";
/// Another server goes on with a stream.
pub const STREAM_RESUMED: &str = "stream resumed";
/// A stream ended before its end; the caller was told nothing false.
pub const STREAM_INTERRUPTED: &str = "stream cut";
/// A server's own failure was passed on, since no other server may be tried or did better.
pub const FAILURE_FORWARDED: &str = "failure passed on";
/// The caller closed its connection before it had its answer.
pub const CALLER_DISCONNECTED: &str = "caller left";

/// A non-repeatable call waits for the answer of its other run; `call` begins its digest, `holder` and
/// `incarnation` name the daemon that holds its claim.
pub const CALL_WAITING: &str = "call waits for its other run";

/// A server gets nothing until it shows a sign of life.
pub const SERVER_UNAVAILABLE: &str = "backend server lost";
/// It showed one.
pub const SERVER_RECOVERED: &str = "backend server back";
/// A server contradicts the list.
pub const SERVER_MISMATCHED: &str = "backend server is not as listed";
/// The engines' common store of KV cache cannot be reached; prompts do without it.
pub const CACHE_STORE_UNAVAILABLE: &str = "KV cache store lost";
/// It can again; it may be empty.
pub const CACHE_STORE_RECOVERED: &str = "KV cache store back";
/// An order to load weights was sent, with the version that the server had, how long the ordered one
/// has been wanted, and how often the server was given it before.
pub const WEIGHTS_ORDERED: &str = "weight order sent";
/// This replica holds a lease and orders weights.
pub const WEIGHT_ORDERS_STARTED: &str = "weight orders begin";
/// Its lease is over; `pending` servers do not have their weights yet.
pub const WEIGHT_ORDERS_ENDED: &str = "weight orders end";
/// All servers that answer have a version; `took_ms` since it was wanted here.
pub const WEIGHTS_ACTIVE: &str = "weights in force";

/// The daemon follows a control VM.
pub const FOLLOWING: &str = "following a control VM";
/// None of the control VMs that were asked is up to date; the configuration held stays in force.
pub const CONFIG_UNCONFIRMED: &str = "configuration not confirmed";
/// One of them is.
pub const CONFIG_CONFIRMED: &str = "configuration confirmed";
/// That VM does not answer.
pub const CONTROL_UNRESPONSIVE: &str = "a control VM does not answer its follower";
/// The list of backend servers is no longer confirmed; the last one stays in use.
pub const LIST_UNCONFIRMED: &str = "server list lost";
/// It is again.
pub const LIST_CONFIRMED: &str = "server list back";
/// No leader is known to this replica.
pub const LEADER_LOST: &str = "control leader lost";
/// One is.
pub const LEADER_KNOWN: &str = "control leader known";
/// The members of the control group changed.
pub const MEMBERSHIP_CHANGED: &str = "control replicas changed";
/// The leader misses voters; `standing_by` are the VMs that it could take in.
pub const REPAIR_NEEDED: &str = "control replicas need repair";
/// It misses none any more.
pub const REPAIR_DONE: &str = "control replicas need no repair";
/// A replica without a leader asks for a place in the group; `heard` are the VMs that it hears.
pub const MEMBERSHIP_REQUESTED: &str = "looking for the control group";
/// This replica leads, with the consent of a quorum.
pub const LEADERSHIP_STARTED: &str = "leading the control replicas";
/// It does no longer: it hears from no quorum, or of a later term.
pub const LEADERSHIP_ENDED: &str = "no longer leading the control replicas";
/// The replica cannot write its disk and takes part in nothing.
pub const REPLICA_STOPPED: &str = "control replica stopped";
/// It runs again on what its disk holds.
pub const REPLICA_RESUMED: &str = "control replica runs again";

/// A configuration is in force here.
pub const ROUTES_ACTIVATED: &str = "routes in force";

/// Records were dropped before this one because the log was over its budget; `count` of them.
pub const RECORDS_DROPPED: &str = "log records left out";

/// The key of an event's name in a record.
pub const MESSAGE: &str = "message";
/// The key of a server's name.
pub const SERVER: &str = "server";
