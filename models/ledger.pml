/*
 * The idempotency ledger: a call that may not be repeated runs at most once, and "did not run" is
 * true. Code: src/control/ledger.rs and the daemon's path of such a call.
 *
 * One key is submitted three times: the caller's request and two resends, each through any daemon.
 * A submission is one claim attempt. Any process may stop between any two steps, for ever (crash)
 * or for long (SIGSTOP, a partition); every proposal may be applied late, twice, or with its reply
 * lost. The ledger itself is one atomic state: election_log.pml shows why that is fair.
 *
 * A daemon that goes on tells by its floor which of its attempts are over. Once nothing is on its
 * way any more, no attempt that its daemon's floor has passed holds the call.
 *
 * Switches that remove a safeguard, each of which must be found out:
 *   CLAIM_EXPIRES     a claim is freed after a time without news from its holder
 *   OTHERS_RELEASE    a daemon that finds a claim held releases it for the holder
 *   TIMER_ANSWERS     a timer answers "did not run" beside a holder that has not given up yet
 *   HTTP_RETRY        the HTTP client repeats a request whose connection broke
 *   HOLDER_ONLY       a release names the daemon alone and not the attempt
 *   FORGETS_ENDS      the ledger forgets which attempts are over
 *   NO_FLOOR          a release that is lost is not made up for
 *   FLOOR_OVER_SENT   the floor passes an attempt that was sent and whose end is not in the ledger
 */
#define SUBMISSIONS 3
#define NOBODY 255

/* Submissions 0 and 1 come through one daemon, submission 2 through another. */
#define DAEMON(id) ((id) / 2)
#ifdef HOLDER_ONLY
#define RELEASES(id, held) ((held) != NOBODY && DAEMON(id) == DAEMON(held))
#else
#define RELEASES(id, held) ((id) == (held))
#endif

mtype = { FREE, RESERVED, FINISHED };
mtype = { NONE, GRANTED, RUNNING, KEPT };

mtype state = FREE;            /* the ledger's entry for the key */
byte holder = NOBODY;          /* whose attempt holds the claim */
bool over[SUBMISSIONS];        /* its daemon sends nothing under it any more, and has told its end */
bool ended[SUBMISSIONS];       /* the ledger knows that it is over */

bool reserve_sent[SUBMISSIONS], release_sent[SUBMISSIONS], finish_sent[SUBMISSIONS];
mtype reply[SUBMISSIONS] = NONE;

bool on_wire[SUBMISSIONS];     /* the call left for the backend server */
bool broke[SUBMISSIONS];       /* its connection broke after bytes were sent */
bool ran[SUBMISSIONS];
bool told_no[SUBMISSIONS];     /* the caller was told that this submission did not run */
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

/* A proposal may stay on its way and be applied again. */
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

/* A floor stays true, however late it arrives. */
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
    /* A daemon's floor passes an attempt once it and all before it are over. */
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

/* Attempt 1 is the second one of its daemon. */
#define PASSED(id) (over[id] && (id != 1 || over[0]))

/* Nothing is on its way, and nobody takes another step. */
active proctype Quiescence() {
end:
    timeout -> assert(!(state == RESERVED && PASSED(holder)))
}

/* A daemon's work for one submission. Leaving by `stopped` is a crash or an endless pause. */
proctype Submission(byte id) {
    reserve_sent[id] = true;
    if
    :: reply[id] == GRANTED
    :: reply[id] == RUNNING -> goto dropped        /* told "unknown", or waits for the answer */
    :: reply[id] == KEPT -> goto dropped           /* gets the kept answer */
    :: goto give_up                                /* the reply is late or lost */
    :: goto stopped
    fi;
    /* Holds the claim. The deadline is looked at right before sending, and may have passed. */
    if
    :: goto give_up
    :: goto stopped
    :: on_wire[id] = true
    fi;
    /* From here on nothing releases the claim: bytes may have reached the backend server. */
    if
    :: ran[id] -> finish_sent[id] = true           /* the caller gets the answer */
    :: broke[id] = true                            /* the caller is told "unknown" */
    :: goto stopped                                /* the finish is lost with the holder */
    fi;
    goto stopped;
give_up:
    /* The only way to "did not run": after it this submission has no step that sends. */
    tell_no(id);
dropped:
    /* The release may be lost; the floor is told until it has arrived. */
    if
    :: release_sent[id] = true
    :: skip
    fi;
    over[id] = true;
stopped:
    skip
}

inline run_call(id) { ran[id] = true; runs++; assert(runs <= 1); assert(!told_no[id]) }

/* Runs whatever arrives, however late. */
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

/* The caller: a resend goes out whenever the caller likes, also beside the first. */
init {
    run Submission(0);
    run Submission(1);
    run Submission(2)
}
