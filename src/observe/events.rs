//! Names of logged events, shared by the code that writes and the code that reads log records.
//!
//! Fields have the same name and unit in all records: `request_id`, `server` and `peer` are names,
//! `document` is the number of the active configuration, `weights` a version of weights, `sent_to`
//! the number of servers that may have started the request, `expected_hit` a number of prompt
//! tokens, and fields that end in `_ms` are in milliseconds.

/// A request was refused. `reason` has the same values as the label of the refusal metric.
pub const REQUEST_REFUSED: &str = "request refused";
/// Connections of clients were closed to make room for others; at most one record a second. `closed` is their
/// number since the last one.
pub const CLIENTS_CLOSED: &str = "clients closed to make room";
/// A request was sent to a backend server; the fields give the inputs of the decision.
pub const REQUEST_SENT: &str = "request sent";
/// One attempt of a request failed; `failure` is the type of failure.
pub const ATTEMPT_FAILED: &str = "attempt failed";
/// A complete response was forwarded to the caller.
pub const RESPONSE_COMPLETED: &str = "answered whole";
/// A stream was forwarded to its end.
pub const STREAM_COMPLETED: &str = "stream answered whole";
/// A stream continues on another server; `software` and `former_software` are the versions of both.
pub const STREAM_RESUMED: &str = "stream resumed";
/// A server that was asked to resume a stream after the event `last_event` begins with the event
/// `first_event`. None of its events is forwarded.
pub const STREAM_MISPLACED: &str = "stream not resumed after its last event";
/// A caller resumes a stream that an earlier request, `resumed_id`, has begun, after the event
/// `last_event`.
pub const CALLER_RESUMES: &str = "stream resumed by its caller";
/// A stream was terminated before its end, in a way that the caller can detect.
pub const STREAM_INTERRUPTED: &str = "stream cut";
/// The error response of a server was forwarded, because no other server could be tried or succeeded.
pub const FAILURE_FORWARDED: &str = "failure passed on";
/// The caller closed its connection before the response was complete.
pub const CALLER_DISCONNECTED: &str = "caller left";

/// A non-repeatable call waits for the response of another request with the same key. `call` is the
/// beginning of its digest; `holder` and `incarnation` identify the daemon that holds the claim.
pub const CALL_WAITING: &str = "call waits for its other run";

/// A backend server is unresponsive and receives no requests until it responds again.
pub const SERVER_UNAVAILABLE: &str = "backend server lost";
/// A backend server that was unresponsive responds again.
pub const SERVER_RECOVERED: &str = "backend server back";
/// This entry reaches no backend server and connects to them through other entries.
pub const SERVERS_UNREACHABLE: &str = "no backend server reached, using other entries";
/// This entry reaches backend servers itself again.
pub const SERVERS_REACHED: &str = "backend servers reached again";
/// A backend server reports attributes that contradict the server list.
pub const SERVER_MISMATCHED: &str = "backend server is not as listed";
/// A success without the server's proof that it is its own was not passed on.
pub const RESPONSE_UNPROVEN: &str = "backend server's success carries no proof";
/// A response was not passed on, since no final response of HTTP has its `status`.
pub const STATUS_INVALID: &str = "backend server's response has no final status";
/// The responses of a server say that it leaves.
pub const SERVER_LEAVES: &str = "backend server leaves";
/// The responses of a server do not say any more that it leaves.
pub const SERVER_STAYS: &str = "backend server leaves no more";
/// A server limits the requests that it takes; `limit` is the number a second from all daemons.
pub const SERVER_LIMITED: &str = "backend server limited";
/// A server does not limit its requests any more.
pub const SERVER_UNLIMITED: &str = "backend server not limited any more";
/// A server has just started, and its arbiter leases at first `limit` of its `slots`.
pub const PACE_BEGUN: &str = "pace of a started server begins";
/// The `answers` of a started server have shown in `duration_ms` that it bears all of its slots.
pub const PACE_ENDED: &str = "pace of a started server ends";
/// The servers of a service end if they have to reject more than `limit` requests in a second.
pub const REJECTIONS_LIMITED: &str = "rejections of backend servers limited";
/// The servers of a service name no such limit any more.
pub const REJECTIONS_UNLIMITED: &str = "rejections of backend servers not limited any more";
/// The servers of a service share their machines with others; their slots are leased from now on.
pub const MACHINES_SHARED: &str = "machines of backend servers shared";
/// The servers of a service do not share their machines any more.
pub const MACHINES_UNSHARED: &str = "machines of backend servers not shared any more";
/// A server rejected a request without executing it. `running` and `waiting` are the load that it
/// reported, `in_flight` is this daemon's part of it, and `attempt` counts from 1.
pub const REQUEST_REJECTED: &str = "request rejected by its server";
/// A server responded with a `status` which guarantees to callers that the request has not run, and did not
/// state so. The status is not passed on, since the request may have run.
pub const OUTCOME_UNSTATED: &str = "server did not state whether it ran the request";
/// Requests of an organisation are refused, since they are beyond its usage limit of `rate` units a second.
pub const CAP_EXCEEDED: &str = "organisation beyond its usage limit";
/// Requests of an organisation are not refused any more for its usage limit. `paid` and `refused` are the units
/// at this entry in `duration_ms`.
pub const CAP_KEPT: &str = "organisation within its usage limit again";
/// A request is refused from now on, because servers crashed while they ran it. `fingerprint` is the
/// hash that all its resends have in common.
pub const REQUEST_ISOLATED: &str = "request isolated";
/// A server has ended whose connections broke shortly before.
pub const CRASH_CONFIRMED: &str = "crash confirmed";
/// A server whose connections broke has identified itself, so that it did not crash.
pub const CRASH_CLEARED: &str = "crash ruled out";
/// A control VM has read from its disk where streams began, as `streams`, and the versions of `services`.
pub const ORIGINS_RESTORED: &str = "stream origins restored";
/// The engines' shared KV cache store is unreachable; prompts are processed without it.
pub const CACHE_STORE_UNAVAILABLE: &str = "KV cache store lost";
/// The KV cache store is reachable again; it may be empty.
pub const CACHE_STORE_RECOVERED: &str = "KV cache store back";
/// An order to load weights was sent. The fields give the version that the server had, how long the
/// ordered version has been desired, and how often it was ordered from the server before.
pub const WEIGHTS_ORDERED: &str = "weight order sent";
/// This replica acquired a lease and starts to order weights.
pub const WEIGHT_ORDERS_STARTED: &str = "weight orders begin";
/// The lease of this replica ended; `pending` servers do not have the desired weights yet.
pub const WEIGHT_ORDERS_ENDED: &str = "weight orders end";
/// All responsive servers have a version of weights, `took_ms` after it became desired on this
/// replica.
pub const WEIGHTS_ACTIVE: &str = "weights in force";

/// The resident memory of a control VM has changed; the fields give what its parts hold, in bytes.
pub const MEMORY_CHANGED: &str = "resident memory changed";

/// The daemon receives configuration from a control VM.
pub const FOLLOWING: &str = "following a control VM";
/// No queried control VM is up to date; the current configuration stays active.
pub const CONFIG_UNCONFIRMED: &str = "configuration not confirmed";
/// A control VM that is up to date confirmed the configuration.
pub const CONFIG_CONFIRMED: &str = "configuration confirmed";
/// The control VM that this daemon follows is unresponsive.
pub const CONTROL_UNRESPONSIVE: &str = "a control VM does not answer its follower";
/// A control VM answered a request for its suitability only after `took_ms`, for example because this
/// daemon has little processor time.
pub const LATE_SUITABILITY: &str = "late answer of a control VM";
/// A full document has arrived; `bytes` is its length and `took_ms` the duration of its transfer.
pub const DOCUMENT_RECEIVED: &str = "document received";
/// The transfer of a full document has failed or stalled; it is requested again.
pub const DOCUMENT_LOST: &str = "document not received";
/// The list of backend servers is no longer confirmed; the last list stays in use.
pub const LIST_UNCONFIRMED: &str = "server list lost";
/// The list of backend servers is confirmed again.
pub const LIST_CONFIRMED: &str = "server list back";
/// This replica has no known leader.
pub const LEADER_LOST: &str = "control leader lost";
/// This replica has a known leader again.
pub const LEADER_KNOWN: &str = "control leader known";
/// The membership of the control group changed.
pub const MEMBERSHIP_CHANGED: &str = "control replicas changed";
/// The leader has lost contact with voters; `standing_by` lists VMs that could replace them.
pub const REPAIR_NEEDED: &str = "control replicas need repair";
/// The leader is in contact with all voters.
pub const REPAIR_DONE: &str = "control replicas need no repair";
/// A replica without a leader requests to join the control group; `heard` lists the VMs that it
/// receives messages from.
pub const MEMBERSHIP_REQUESTED: &str = "looking for the control group";
/// This replica became leader, confirmed by a quorum.
pub const LEADERSHIP_STARTED: &str = "leading the control replicas";
/// This replica is no longer leader: it lost contact with the quorum or learned of a later term.
pub const LEADERSHIP_ENDED: &str = "no longer leading the control replicas";
/// The replica cannot write to its disk and has stopped.
pub const REPLICA_STOPPED: &str = "control replica stopped";
/// The stopped replica resumed from the state on its disk.
pub const REPLICA_RESUMED: &str = "control replica runs again";

/// A document was acknowledged to an operator. `held` is the number in force, `digest` tells documents
/// of the same number apart.
pub const DOCUMENT_ACKNOWLEDGED: &str = "document acknowledged";
/// An acknowledged document is not in force, since another one has its number; `ignored` is its digest.
pub const DOCUMENT_IGNORED: &str = "document acknowledged, another one of its number is in force";
/// This process did not run for `paused_ms`; the steady clock did not count `suspended_ms` of it.
pub const PROCESS_PAUSED: &str = "process paused";

/// An operator read the document in force; `waited_ms` is how long a quorum took to confirm it.
pub const DOCUMENT_READ: &str = "configuration read";
/// An operator sent an invalid document; `document` is its number, if that can be read.
pub const DOCUMENT_REFUSED: &str = "invalid configuration refused";
/// This daemon activated a configuration, which took `parse_ms` to parse and index.
pub const ROUTES_ACTIVATED: &str = "routes in force";

/// The logger dropped `count` records before this one because they exceeded its limits.
pub const RECORDS_DROPPED: &str = "log records left out";

/// Key of the event name in a record.
pub const MESSAGE: &str = "message";
/// Key of the server name in a record.
pub const SERVER: &str = "server";
