/*
 * Replicated log: every entry that a leader has committed is in the log of every later leader. This
 * includes the loss of a disk, its repair by a membership change, and the loss of a second disk after
 * the repair.
 * Code: src/control/replica.rs and replica/ (election, leader, follower, membership_change).
 *
 * The model has three replicas. In each step one replica processes one message. Messages are lost,
 * delayed or reordered by omitting a step or taking it later. A replica may stop at any time by taking
 * no more steps. Replies that arrive after their sender's disk was lost still count, because `votes`
 * and `match` are kept.
 *
 * A disk is identified by its VM and the incarnation of its folder: 0 initially, 1 after a loss. The
 * entries of a log determine one of three stages of the membership: all first disks; without the lost
 * disk (OUT); with the new disk in its place (IN), which the leader writes once the new disk has all
 * committed entries. A quorum is two in each stage. A second disk may be lost as soon as the repair is
 * committed.
 *
 * Variants that must hold as well:
 *   FOUR_TERMS         one more election, with shorter logs and without disk losses
 *
 * Switches that remove a safeguard; the checker must find a violation with each of them:
 *   EMPTY_DISK_VOTES   an emptied disk votes before it is added to the group again
 *   VOTE_ANY_LOG       a vote is granted without a comparison of logs
 *   COMMIT_OLD_TERM    an entry of an earlier term is committed by counting replicas
 *   VOTE_TWICE         a vote is lost when the replica restarts
 */
#define VMS 3
#define NOBODY 3
#define LENGTH 4               /* entries of a log */

/* Overwriting an entry that was committed only by counting replicas takes four elections. */
#ifdef COMMIT_OLD_TERM
#define FOUR_TERMS
#endif
#ifdef FOUR_TERMS
#define TERMS 4                /* number of elections */
#define WRITTEN 3              /* maximum log length that leaders write */
#define MAY_LOSE false
#else
#define TERMS 3
#define WRITTEN LENGTH
#define MAY_LOSE true
#endif

#define DATA 1
#define OUT 2
#define IN 3

byte term[VMS];
byte vote[VMS] = NOBODY;       /* granted in `term` */
byte life[VMS];                /* incarnation of the disk */
bool stands[VMS];              /* whether it is a candidate */
bool leads[VMS];
byte votes[VMS];               /* set of VMs that voted for this candidate */
byte commit[VMS];              /* commit index known to this leader */
byte length[VMS];
byte entry_term[VMS * LENGTH];
byte entry_kind[VMS * LENGTH];
byte match[VMS * VMS];         /* [leader, follower]: entries the leader knows to be there */

byte lost = NOBODY;            /* the VM whose disk was lost and is repaired */
bool lost_again = false;       /* another VM's disk was lost after the repair */

/* Ghost variables: all entries ever committed, and the terms in which they were committed. */
byte ever = 0;
byte ever_by[LENGTH];
byte ever_term[LENGTH];
byte ever_kind[LENGTH];

hidden byte i, n, r, f;

#define AT(v, k) (v) * LENGTH + (k)
#define LAST_TERM(v) (length[v] == 0 -> 0 : entry_term[AT(v, length[v] - 1)])
#define HAS(v, kind) (entry_kind[AT(v, 0)] == kind || entry_kind[AT(v, 1)] == kind || \
                      entry_kind[AT(v, 2)] == kind || entry_kind[AT(v, 3)] == kind)

#ifdef EMPTY_DISK_VOTES
#define IS_DISK(v, wanted) true
#else
#define IS_DISK(v, wanted) (life[v] == (wanted))
#endif
/* Whether the current disk of `v` is a voter in the membership according to the log of `of`. */
#define VOTER(of, v) ((v) != lost -> IS_DISK(v, 0) : \
    (HAS(of, IN) -> IS_DISK(v, 1) : (!HAS(of, OUT) && IS_DISK(v, 0))))
/* Whether `of` counts `v` in a quorum. This depends on the replies of `v`, not on its current disk. */
#define COUNTS(of, v) ((v) != lost || HAS(of, IN) || !HAS(of, OUT))
/* Whether `of` sends entries to the current disk of `v`: it is a voter or a learner. */
#define MEMBER(of, v) (VOTER(of, v) || ((v) == lost && life[v] == 1 && HAS(of, OUT)))

#ifdef VOTE_ANY_LOG
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || \
    (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#endif

/* Membership changes are sequential, and need a committed entry of the leader's own term. */
#define MAY_CHANGE(l) (commit[l] > 0 && entry_term[AT(l, commit[l] - 1)] == term[l])

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

/* A restart followed by an election. A leader without replies of a quorum does this as well. */
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
        assert(i >= ever || ever_by[i] > term[c] || (i < length[c] && entry_term[AT(c, i)] == ever_term[i] &&
            entry_kind[AT(c, i)] == ever_kind[i]))
    };
    skip
}

inline write(l, kind) {
    entry_term[AT(l, length[l])] = term[l];
    entry_kind[AT(l, length[l])] = kind;
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
            entry_kind[AT(v, i)] = entry_kind[AT(l, i)]
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
            assert(entry_term[AT(l, i)] == ever_term[i] && entry_kind[AT(l, i)] == ever_kind[i])
        :: i < upto && i >= ever ->
            ever_by[i] = term[l]; ever_term[i] = entry_term[AT(l, i)]; ever_kind[i] = entry_kind[AT(l, i)]
        :: else
        fi
    }
    if :: upto > ever -> ever = upto :: else fi
}

#define HELD(l, v, k) (COUNTS(l, v) && match[(l) * VMS + (v)] >= (k))
#define QUORUM(l, k) ((HELD(l, 0, k) + HELD(l, 1, k) + HELD(l, 2, k)) >= 2)
#ifdef COMMIT_OLD_TERM
#define OWN_TERM(l, k) true
#else
#define OWN_TERM(l, k) (entry_term[AT(l, (k) - 1)] == term[l])
#endif
#define CAN_COMMIT(l, k) (length[l] >= (k) && commit[l] < (k) && OWN_TERM(l, k) && QUORUM(l, k))

inline lose_disk(v) {
    step_down(v);
    term[v] = 0; vote[v] = NOBODY; length[v] = 0; life[v] = 1;
    for (i : 0 .. LENGTH - 1) { entry_term[AT(v, i)] = 0; entry_kind[AT(v, i)] = 0 };
    skip
}

#define REPAIRED (ever_kind[0] == IN || ever_kind[1] == IN || ever_kind[2] == IN || \
                  ever_kind[3] == IN)

active [VMS] proctype Replica() {
    byte me = _pid;
end:
    do
    :: d_step { term[me] < TERMS && !leads[me] && VOTER(me, me) -> campaign(me); f = 0 }
    :: d_step { leads[me] -> step_down(me) }
    :: d_step { stands[me] && VOTER(me, 0) && me != 0 && term[me] >= term[0] -> ask_vote(me, 0) }
    :: d_step { stands[me] && VOTER(me, 1) && me != 1 && term[me] >= term[1] -> ask_vote(me, 1) }
    :: d_step { stands[me] && VOTER(me, 2) && me != 2 && term[me] >= term[2] -> ask_vote(me, 2) }
    :: d_step { stands[me] && (votes[me] == 3 || votes[me] >= 5) -> lead(me) }
    :: d_step { leads[me] && length[me] < WRITTEN -> write(me, DATA) }
    :: d_step { leads[me] && length[me] < WRITTEN && lost != NOBODY && lost != me &&
        life[lost] == 1 && !HAS(me, OUT) && MAY_CHANGE(me) ->
        write(me, OUT); match[me * VMS + lost] = 0 }
    :: d_step { leads[me] && length[me] < WRITTEN && HAS(me, OUT) && !HAS(me, IN) && MAY_CHANGE(me) &&
        commit[me] == length[me] && match[me * VMS + lost] >= commit[me] -> write(me, IN) }
    :: d_step { leads[me] && me != 0 && MEMBER(me, 0) && term[me] >= term[0] -> append(me, 0) }
    :: d_step { leads[me] && me != 1 && MEMBER(me, 1) && term[me] >= term[1] -> append(me, 1) }
    :: d_step { leads[me] && me != 2 && MEMBER(me, 2) && term[me] >= term[2] -> append(me, 2) }
    :: d_step { leads[me] && CAN_COMMIT(me, 1) -> advance(me, 1) }
    :: d_step { leads[me] && CAN_COMMIT(me, 2) -> advance(me, 2) }
    :: d_step { leads[me] && CAN_COMMIT(me, 3) -> advance(me, 3) }
    :: d_step { leads[me] && CAN_COMMIT(me, 4) -> advance(me, 4) }
#ifdef VOTE_TWICE
    :: d_step { vote[me] != NOBODY && !leads[me] -> vote[me] = NOBODY; step_down(me) }
#endif
    :: d_step { MAY_LOSE && lost == NOBODY -> lost = me; lose_disk(me) }
    :: d_step { REPAIRED && !lost_again && me != lost -> lost_again = true; lose_disk(me) }
    od
}
