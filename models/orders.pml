/*
 * Weight orders: an order of a former leader has no lasting effect, even on an engine that ignores
 * fencing numbers. Code: src/daemon/weight_orders.rs and weight_orders/order_core.rs.
 *
 * The desired version changes from 1 (set in term 1) to 2 (set in term 2). The leader of term 1
 * issues two orders for version 1. It may be paused at any point, also between its last check of the
 * lease and the sending, and its orders may arrive arbitrarily late. The leader of term 2 orders
 * version 2 and keeps comparing the desired with the observed versions.
 *
 * Checked properties: an engine that compares fencing numbers never reverts to an older version; when
 * no process can take a step, both engines run version 2.
 *
 * Switches that remove a safeguard; the checker must find a violation with each of them:
 *   NO_REORDER      the leader sends one order and does not check the observed version again
 *   LOCAL_NUMBERS   each leader numbers its orders with a counter of its own
 */
#define ENGINES 2
#define CHECKS 0               /* this engine compares fencing numbers; the other one accepts every order */
#define STALE 2                /* number of orders of the former leader */

byte desired = 1;
byte version[ENGINES];         /* run by the engine */
byte seen[ENGINES];            /* highest fencing number received */
bool lease_held = true;        /* of the leader of term 1 */

typedef Order { bool waits; byte weights; byte number };
Order late[STALE];             /* orders of term 1 in transit */
byte target[STALE];
Order fresh[ENGINES];          /* orders of term 2 in transit, at most one per engine */

#ifdef LOCAL_NUMBERS
#define NUMBER_OF(leader, count) (count)
#else
/* The term and the log index of the desired state; a later term always gives a higher number. */
#define NUMBER_OF(leader, count) ((leader) * 8)
#endif

inline take(engine, order) {
    order.waits = false;
    if
    :: engine == CHECKS && order.number < seen[engine]
    :: else ->
        assert(engine != CHECKS || order.weights >= version[engine]);
        seen[engine] = order.number;
        version[engine] = order.weights
    fi
}

active proctype FormerLeader() {
    byte count = 0;
    bool may_send;
    do
    :: count < STALE ->
        may_send = lease_held;              /* last check of the lease; a pause may follow */
        if
        :: may_send ->
            atomic {
                if :: target[count] = 0 :: target[count] = 1 fi;
                late[count].weights = 1;
                late[count].number = NUMBER_OF(1, count + 1);
                late[count].waits = true;
                count++
            }
        :: else -> break
        fi
    :: break
    od
}

#ifdef NO_REORDER
#define MAY_ORDER(engine) (!ordered[engine])
#else
/* Compares desired with observed versions forever; at most one order per engine is in transit. */
#define MAY_ORDER(engine) (version[engine] != desired && !fresh[engine].waits)
#endif

inline order(engine) {
    ordered[engine] = true;
    fresh[engine].weights = desired;
    fresh[engine].number = NUMBER_OF(2, 1);
    fresh[engine].waits = true
}

active proctype NextLeader() {
    bool ordered[ENGINES];
    lease_held = false;                     /* elected only after the former lease has expired */
    desired = 2;
end:
    do
    :: atomic { MAY_ORDER(0) -> order(0) }
    :: atomic { MAY_ORDER(1) -> order(1) }
    od
}

/* Delivers orders in any sequence and at any time. */
active proctype Network() {
end:
    do
    :: atomic { late[0].waits -> take(target[0], late[0]) }
    :: atomic { late[1].waits -> take(target[1], late[1]) }
    :: atomic { fresh[0].waits -> take(0, fresh[0]) }
    :: atomic { fresh[1].waits -> take(1, fresh[1]) }
    od
}

/* Checked when no other process can take a step. */
active proctype Quiet() {
    timeout -> assert(version[0] == desired && version[1] == desired)
}
