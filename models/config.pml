/*
 * Dissemination of the configuration: the revision served by an entry without a disk never
 * decreases, even if the entry restarts in a failure domain that is cut off.
 * Code: src/daemon/config_spread/spread_core.rs and history.rs.
 *
 * The model has one failure domain with a disk replica and two diskless entries. Outside it the
 * leader commits revisions 1 to 3. The domain is cut off and reconnected, the disk replica stops and
 * restarts with its disk, the entries restart at any time, and replies may be outdated on arrival.
 *
 * Not covered: the disk replica is unavailable for longer than an entry waits for it (ANCHOR_WAIT),
 * or while an entry starts (COLD_WAIT). The entry then serves the newest revision that it finds.
 *
 * Switches that remove a safeguard; the checker must find a violation with each of them:
 *   LAST_WINS      a reply is applied without a comparison of revisions
 *   FROM_OUTSIDE   an entry accepts an update from outside before its disk replica has it
 *   UNSYNCED       the disk replica serves a revision before it is synced
 */
#define ENTRIES 2
#define REVISIONS 3

byte committed = 0;            /* by the leader, outside the domain */
byte on_disk = 0;              /* at the disk replica */
byte in_memory = 0;            /* at the disk replica; the revision that it serves */
bool anchor_up = true;
bool cut = false;

byte in_force[ENTRIES];        /* 0: starting, serves no requests yet */
byte highest[ENTRIES];         /* the highest revision ever served; the lower bound that is checked */

/* A reply in transit to each entry: the revision of its sender when it was sent. */
byte on_way[ENTRIES];
bool waits[ENTRIES];
byte life[ENTRIES];            /* restarts of an entry, at most 2; a restart drops its reply in transit */

inline answer(entry, revision) {
    if
    :: revision > 0 -> on_way[entry] = revision; waits[entry] = true
    :: else
    fi
}

active proctype Leader() {
    do
    :: committed < REVISIONS -> committed++
    :: break
    od
}

active proctype Surroundings() {
    byte cuts = 0, stops = 0;
end:
    do
    :: cuts < 2 -> cut = !cut; cuts++
    :: atomic { stops < 1 && anchor_up -> anchor_up = false; stops++ }
    :: atomic { !anchor_up -> anchor_up = true; in_memory = on_disk }
    od
}

active proctype Anchor() {
    byte news;
end:
    do
    :: atomic { anchor_up && !cut && committed > in_memory -> news = committed };
#ifdef UNSYNCED
       atomic { anchor_up -> in_memory = news };
       if
       :: atomic { anchor_up && in_memory == news -> on_disk = news }
       :: atomic { !anchor_up || in_memory != news -> skip }
       fi
#else
       if
       :: atomic { anchor_up && news > on_disk -> on_disk = news; in_memory = news }
       :: else
       fi
#endif
    od
}

active [ENTRIES] proctype Entry() {
    byte me = _pid - 3;
    byte other = 1 - me;
end:
    do
    /* A fetch from the disk replica, the first source used after a start. */
    :: atomic { anchor_up && !waits[me] -> answer(me, in_memory) }
    /* A fetch from the other entry, which received the revision from the disk replica. */
    :: atomic { in_force[me] > 0 && !waits[me] && in_force[other] > in_force[me] ->
        answer(me, in_force[other]) }
#ifdef FROM_OUTSIDE
    :: atomic { !cut && !waits[me] && committed > in_force[me] -> answer(me, committed) }
#endif
#ifdef LAST_WINS
    /* A second fetch is in progress; its reply is older than the first one. */
    :: atomic { waits[me] && on_way[me] > 1 -> on_way[me]-- }
#endif
    :: atomic { waits[me] ->
        waits[me] = false;
        if
#ifdef LAST_WINS
        :: true ->
#else
        :: on_way[me] > in_force[me] ->
#endif
            in_force[me] = on_way[me];
            assert(in_force[me] >= highest[me]);
            highest[me] = in_force[me]
        :: else
        fi }
    /* A restart of this entry; the other one may restart as well. */
    :: atomic { life[me] < 2 -> life[me]++; in_force[me] = 0; waits[me] = false }
    od
}
