/*
 * Automatic replacement of voters: every entry that a leader has committed is in the log of every
 * later leader, although the leader cannot tell a lost voter from an unreachable one.
 * Code: src/control/healing.rs and src/control/replica/membership_change.rs.
 *
 * Three replicas found the group, and a fourth one with an empty disk is available. A leader that
 * misses a voter adds the fourth replica once it has all committed entries, and then removes VM 0. The
 * founders are symmetric, so VM 0 represents any of them. VM 0 may be running all the time, lead or
 * still consider itself a voter, and become a candidate. Messages are lost, delayed or reordered by
 * omitting a step or taking it later. Lost disks of a member's VM are covered by election_log.pml.
 *
 * Switches that remove a safeguard; the checker must find a violation with each of them:
 *   SWAP_AT_ONCE       one entry adds the fourth replica and removes a voter
 *   CHANGE_UNSETTLED   a change is written before an entry of the leader's own term is committed
 */
#define VMS 4
#define STRANGER 3
#define NOBODY 4
#define FOUNDERS 7             /* the set of VMs 0, 1 and 2 */
#define LENGTH 3               /* entries of a log */
#ifdef CHANGE_UNSETTLED
#define TERMS 4                /* number of elections */
#else
#define TERMS 3
#endif

byte term[VMS];
byte vote[VMS] = NOBODY;       /* granted in `term` */
bool stands[VMS];              /* whether it is a candidate */
bool leads[VMS];
byte votes[VMS];               /* set of VMs that voted for this candidate */
byte commit[VMS];              /* commit index known to this leader */
byte length[VMS];
byte entry_term[VMS * LENGTH];
byte entry_voters[VMS * LENGTH]; /* the voters from this entry on, as a set; 0: no change */
byte match[VMS * VMS];         /* [leader, follower]: entries the leader knows to be there */

/* Ghost variables: all entries ever committed, and the terms in which they were committed. */
byte ever = 0;
byte ever_by[LENGTH];
byte ever_term[LENGTH];
byte ever_voters[LENGTH];

hidden byte i, n;

#define AT(v, k) (v) * LENGTH + (k)
#define LAST_TERM(v) (length[v] == 0 -> 0 : entry_term[AT(v, length[v] - 1)])
/* The voters according to the log of `v`: those of its last membership change. */
#define VOTERS(v) (length[v] >= 3 && entry_voters[AT(v, 2)] != 0 -> entry_voters[AT(v, 2)] : \
    (length[v] >= 2 && entry_voters[AT(v, 1)] != 0 -> entry_voters[AT(v, 1)] : \
    (length[v] >= 1 && entry_voters[AT(v, 0)] != 0 -> entry_voters[AT(v, 0)] : FOUNDERS)))
#define IN(set, v) (((set) >> (v)) & 1)
#define COUNT(set) (IN(set, 0) + IN(set, 1) + IN(set, 2) + IN(set, 3))
#define IS_QUORUM(set, of) (2 * COUNT((set) & (of)) > COUNT(of))
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || \
    (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))

/* Membership changes are sequential, and need a committed entry of the leader's own term. */
#ifdef CHANGE_UNSETTLED
#define MAY_CHANGE(l) true
#else
#define MAY_CHANGE(l) (commit[l] == length[l] && commit[l] > 0 && \
    entry_term[AT(l, commit[l] - 1)] == term[l])
#endif

inline follow(v, new_term) {
    if
    :: new_term > term[v] -> term[v] = new_term; vote[v] = NOBODY
    :: else
    fi
}

inline step_down(v) {
    stands[v] = false; leads[v] = false; votes[v] = 0; commit[v] = 0;
    for (n : 0 .. VMS - 1) { match[v * VMS + n] = 0 };
    skip
}

inline campaign(v) {
    step_down(v);
    term[v]++; vote[v] = v; stands[v] = true; votes[v] = 1 << v
}

inline ask_vote(c, v) {
    if
    :: term[c] > term[v] -> follow(v, term[c]); step_down(v)
    :: else
    fi;
    if
    :: term[c] == term[v] && (vote[v] == NOBODY || vote[v] == c) && !stands[v] &&
       !leads[v] && UP_TO_DATE(c, v) -> vote[v] = c; votes[c] = votes[c] | (1 << v)
    :: else
    fi
}

/* Checked property: a leader has every entry that was committed in an earlier term. */
inline lead(c) {
    stands[c] = false; leads[c] = true; votes[c] = 0;
    match[c * VMS + c] = length[c];
    for (i : 0 .. LENGTH - 1) {
        assert(i >= ever || ever_by[i] > term[c] || (i < length[c] &&
            entry_term[AT(c, i)] == ever_term[i] && entry_voters[AT(c, i)] == ever_voters[i]))
    };
    skip
}

inline write(l, change) {
    entry_term[AT(l, length[l])] = term[l];
    entry_voters[AT(l, length[l])] = change;
    length[l]++;
    match[l * VMS + l] = length[l]
}

/* The follower stores the leader's entries and drops conflicting ones. */
inline append(l, v) {
    if
    :: term[l] > term[v] || stands[v] -> follow(v, term[l]); step_down(v)
    :: else
    fi;
    n = 0;                     /* entries in common */
    do
    :: n < length[l] && n < length[v] && entry_term[AT(l, n)] == entry_term[AT(v, n)] -> n++
    :: else -> break
    od;
    if
    :: n < length[l] ->
        for (i : 0 .. LENGTH - 1) {
            entry_term[AT(v, i)] = entry_term[AT(l, i)];
            entry_voters[AT(v, i)] = entry_voters[AT(l, i)]
        }
        length[v] = length[l]
    :: else
    fi;
    match[l * VMS + v] = length[l]
}

inline advance(l, upto) {
    commit[l] = upto;
    for (i : 0 .. LENGTH - 1) {
        if
        :: i < upto && i < ever ->
            assert(entry_term[AT(l, i)] == ever_term[i] && entry_voters[AT(l, i)] == ever_voters[i])
        :: i < upto && i >= ever ->
            ever_by[i] = term[l]; ever_term[i] = entry_term[AT(l, i)];
            ever_voters[i] = entry_voters[AT(l, i)]
        :: else
        fi
    }
    if :: upto > ever -> ever = upto :: else fi
}

#define HELD(l, k) ((match[(l) * VMS] >= (k)) + ((match[(l) * VMS + 1] >= (k)) << 1) + \
    ((match[(l) * VMS + 2] >= (k)) << 2) + ((match[(l) * VMS + 3] >= (k)) << 3))
#define CAN_COMMIT(l, k) (length[l] >= (k) && commit[l] < (k) && \
    entry_term[AT(l, (k) - 1)] == term[l] && IS_QUORUM(HELD(l, k), VOTERS(l)))
/* The fourth replica receives entries as a learner before it becomes a voter. */
#define SENDS_TO(l, v) (IN(VOTERS(l), v) || (v) == STRANGER)
#define CAUGHT_UP(l, v) (match[(l) * VMS + (v)] >= commit[l])

active [VMS] proctype Replica() {
    byte me = _pid;
end:
    do
    :: d_step { term[me] < TERMS && !leads[me] && IN(VOTERS(me), me) -> campaign(me) }
    :: d_step { leads[me] -> step_down(me) }
    :: d_step { stands[me] && IN(VOTERS(me), 0) && me != 0 && term[me] >= term[0] -> ask_vote(me, 0) }
    :: d_step { stands[me] && IN(VOTERS(me), 1) && me != 1 && term[me] >= term[1] -> ask_vote(me, 1) }
    :: d_step { stands[me] && IN(VOTERS(me), 2) && me != 2 && term[me] >= term[2] -> ask_vote(me, 2) }
    :: d_step { stands[me] && IN(VOTERS(me), 3) && me != 3 && term[me] >= term[3] -> ask_vote(me, 3) }
    :: d_step { stands[me] && IS_QUORUM(votes[me], VOTERS(me)) -> lead(me) }
    :: d_step { leads[me] && length[me] < LENGTH -> write(me, 0) }
#ifdef SWAP_AT_ONCE
    :: d_step { leads[me] && length[me] < LENGTH && MAY_CHANGE(me) && !IN(VOTERS(me), STRANGER) &&
        CAUGHT_UP(me, STRANGER) && me != 0 -> write(me, 14) }
#else
    :: d_step { leads[me] && length[me] < LENGTH && MAY_CHANGE(me) && !IN(VOTERS(me), STRANGER) &&
        CAUGHT_UP(me, STRANGER) -> write(me, 15) }
    :: d_step { leads[me] && length[me] < LENGTH && MAY_CHANGE(me) && VOTERS(me) == 15 && me != 0 ->
        write(me, 14) }
#endif
    :: d_step { leads[me] && me != 0 && SENDS_TO(me, 0) && term[me] >= term[0] -> append(me, 0) }
    :: d_step { leads[me] && me != 1 && SENDS_TO(me, 1) && term[me] >= term[1] -> append(me, 1) }
    :: d_step { leads[me] && me != 2 && SENDS_TO(me, 2) && term[me] >= term[2] -> append(me, 2) }
    :: d_step { leads[me] && me != 3 && SENDS_TO(me, 3) && term[me] >= term[3] -> append(me, 3) }
    :: d_step { leads[me] && CAN_COMMIT(me, 1) -> advance(me, 1) }
    :: d_step { leads[me] && CAN_COMMIT(me, 2) -> advance(me, 2) }
    :: d_step { leads[me] && CAN_COMMIT(me, 3) -> advance(me, 3) }
    od
}
