/*
 * Idempotency ledger: a non-repeatable call is executed at most once, and a "did not run" response
 * is always true.
 * Code: src/control/ledger.rs and the daemon's processing of non-repeatable calls.
 *
 * One key is submitted three times: the caller's request and two resends, through two daemons. A
 * submission is one claim attempt. Any process may stop between any two steps, permanently (crash) or
 * for long (SIGSTOP, a partition). Every proposal may be applied late or twice, or its reply may be
 * lost. The ledger is modelled as one atomic state, which election_log.pml justifies.
 *
 * A running daemon reports by its floor which of its attempts have ended. Once no proposal is in
 * transit, no attempt below the floor of its daemon holds the call.
 *
 * Switches that remove a safeguard; the checker must find a violation with each of them:
 *   CLAIM_EXPIRES     a claim is freed after a time without contact to its holder
 *   OTHERS_RELEASE    a daemon releases a claim that another one holds
 *   TIMER_ANSWERS     a timer responds "did not run" while the holder may still send the call
 *   HTTP_RETRY        the HTTP client retries a request whose connection broke
 *   HOLDER_ONLY       a release names the daemon but not the attempt
 *   FORGETS_ENDS      the ledger does not record which attempts have ended
 *   NO_FLOOR          nothing replaces a lost release
 *   FLOOR_OVER_SENT   the floor passes an attempt that was sent and whose end is not in the ledger
 */
#define SUBMISSIONS 3
#define NOBODY 255

/* Submissions 0 and 1 go through one daemon, submission 2 through another. */
#define DAEMON(id) ((id) / 2)
#ifdef HOLDER_ONLY
#define RELEASES(id, held) ((held) != NOBODY && DAEMON(id) == DAEMON(held))
#else
#define RELEASES(id, held) ((id) == (held))
#endif

mtype = { FREE, RESERVED, FINISHED };
mtype = { NONE, GRANTED, RUNNING, KEPT };

mtype state = FREE;            /* of the ledger entry for the key */
byte holder = NOBODY;          /* the submission that holds the claim */
bool over[SUBMISSIONS];        /* its daemon sends nothing more under it and has reported its end */
bool ended[SUBMISSIONS];       /* the ledger has recorded its end */

bool reserve_sent[SUBMISSIONS], release_sent[SUBMISSIONS], finish_sent[SUBMISSIONS];
mtype reply[SUBMISSIONS] = NONE;

bool on_wire[SUBMISSIONS];     /* the call was sent to the backend server */
bool broke[SUBMISSIONS];       /* its connection broke after bytes were sent */
bool ran[SUBMISSIONS];
bool told_no[SUBMISSIONS];     /* the caller received "did not run" for this submission */
byte runs = 0;

inline tell_no(id) { told_no[id] = true; assert(!ran[id]) }

#ifdef FORGETS_ENDS
#define ENDED(id) false
#else
#define ENDED(id) ended[id]
#endif
#ifdef FLOOR_OVER_SENT
#define BELOW_FLOOR(id) true
#else
#define BELOW_FLOOR(id) over[id]
#endif

inline free_call() { state = FREE; holder = NOBODY }

/* A proposal may stay in transit and be applied again. */
inline apply_reserve(id) {
    if
    :: ENDED(id)
    :: !ENDED(id) && state == FREE -> state = RESERVED; holder = id; reply[id] = GRANTED
    :: !ENDED(id) && state == RESERVED && holder == id -> reply[id] = GRANTED
    :: !ENDED(id) && state == RESERVED && holder != id -> reply[id] = RUNNING
    :: !ENDED(id) && state == FINISHED -> reply[id] = KEPT
    fi;
    if :: reserve_sent[id] = false :: skip fi
}

inline apply_release(id) {
    release_sent[id] = false; ended[id] = true;
    if
    :: state == RESERVED && RELEASES(id, holder) -> free_call()
    :: else
    fi
}

inline apply_finish(id) {
    finish_sent[id] = false; over[id] = true;
    if
    :: state == RESERVED && holder == id -> state = FINISHED
    :: else
    fi
}

/* A floor remains valid, however late it is applied. */
inline apply_floor(id) {
    ended[id] = true;
    if
    :: state == RESERVED && holder == id -> free_call()
    :: else
    fi
}

/* Applies proposals in any order. */
active proctype Ledger() {
end:
    do
    :: atomic { reserve_sent[0] -> apply_reserve(0) }
    :: atomic { reserve_sent[1] -> apply_reserve(1) }
    :: atomic { reserve_sent[2] -> apply_reserve(2) }
    :: atomic { release_sent[0] -> apply_release(0) }
    :: atomic { release_sent[1] -> apply_release(1) }
    :: atomic { release_sent[2] -> apply_release(2) }
    :: atomic { finish_sent[0] -> apply_finish(0) }
    :: atomic { finish_sent[1] -> apply_finish(1) }
    :: atomic { finish_sent[2] -> apply_finish(2) }
#ifndef NO_FLOOR
    /* The floor of a daemon passes an attempt once this attempt and all earlier ones have ended. */
    :: atomic { !ended[0] && BELOW_FLOOR(0) -> apply_floor(0) }
    :: atomic { !ended[1] && BELOW_FLOOR(0) && BELOW_FLOOR(1) -> apply_floor(1) }
    :: atomic { !ended[2] && BELOW_FLOOR(2) -> apply_floor(2) }
#endif
#ifdef CLAIM_EXPIRES
    :: atomic { state == RESERVED -> free_call() }
#endif
#ifdef OTHERS_RELEASE
    :: atomic { state == RESERVED && holder != 2 && reply[2] == RUNNING ->
        free_call(); reply[2] = NONE; reserve_sent[2] = true }
#endif
    od
}

/* Attempt 1 is the second attempt of its daemon. */
#define PASSED(id) (over[id] && (id != 1 || over[0]))

/* Checked when nothing is in transit and no process can take a step. */
active proctype Quiescence() {
end:
    timeout -> assert(!(state == RESERVED && PASSED(holder)))
}

/* Processing of one submission by a daemon. A jump to `stopped` is a crash or an unbounded pause. */
proctype Submission(byte id) {
    reserve_sent[id] = true;
    if
    :: reply[id] == GRANTED
    :: reply[id] == RUNNING -> goto dropped        /* responds "unknown" or waits for the stored response */
    :: reply[id] == KEPT -> goto dropped           /* returns the stored response */
    :: goto give_up                                /* the reply is late or lost */
    :: goto stopped
    fi;
    /* The submission holds the claim. The deadline is checked right before sending and may have passed. */
    if
    :: goto give_up
    :: goto stopped
    :: on_wire[id] = true
    fi;
    /* From here on nothing releases the claim, because bytes may have reached the backend server. */
    if
    :: ran[id] -> finish_sent[id] = true           /* the caller receives the response */
    :: broke[id] = true                            /* the caller receives "unknown" */
    :: goto stopped                                /* the finish is lost with the holder */
    fi;
    goto stopped;
give_up:
    /* The only path to "did not run"; no later step of this submission sends the call. */
    tell_no(id);
dropped:
    /* The release may be lost; the floor is sent repeatedly until it is applied. */
    if
    :: release_sent[id] = true
    :: skip
    fi;
    over[id] = true;
stopped:
    skip
}

inline run_call(id) { ran[id] = true; runs++; assert(runs <= 1); assert(!told_no[id]) }

/* Executes every call that arrives, however late. */
active proctype Backend() {
end:
    do
    :: atomic { on_wire[0] && !ran[0] -> run_call(0) }
    :: atomic { on_wire[1] && !ran[1] -> run_call(1) }
    :: atomic { on_wire[2] && !ran[2] -> run_call(2) }
#ifdef HTTP_RETRY
    :: atomic { ran[0] && broke[0] -> broke[0] = false; runs++; assert(runs <= 1) }
#endif
    od
}

#ifdef TIMER_ANSWERS
active proctype Timer() {
    byte id;
    select(id : 0 .. SUBMISSIONS - 1);
end:
    atomic { reserve_sent[id] && !on_wire[id] -> tell_no(id) }
}
#endif

/* The caller may resend at any time, even while the first request is in progress. */
init {
    run Submission(0);
    run Submission(1);
    run Submission(2)
}
