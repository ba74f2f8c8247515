/*
 * How a control VM outside the group finds the leader: once nothing new can be learned, the leader has
 * heard every VM outside from which a chain of names leads to the group.
 * Code: src/control/replica/contacts.rs and the probes of src/control/replica/formation.rs.
 *
 * VM 0 leads, VM 1 is a member as well, VMs 2 and 3 are outside. The settings of each name any of the
 * others. VM 3 is the one to be heard; the group may still write to a former disk of it. VMs outside
 * restart and forget what was named to them. Messages are lost or overtaken by taking a step later; one
 * that is sent again and again arrives at last.
 *
 * Switches that remove a safeguard, each of which must be found out:
 *   SILENT_MEMBERS     a member that is asked does not name the members
 *   SILENT_OUTSIDERS   a VM outside does not pass on what was named to it
 *   NO_ANNOUNCEMENT    the leader says nothing to VMs of its settings that are outside
 *   FORMER_DISK_MUTE   a message for a former disk is dropped unseen
 */
#define VMS 4
#define LEADER 0
#define MEMBER 1
#define OUTSIDER 2
#define NEWCOMER 3
#define MEMBERS 3              /* the set of VMs 0 and 1 */
#define RESTARTS 2

byte named[VMS];               /* by settings, as sets */
byte contacts[VMS];            /* named by other VMs */
bool heard;                    /* the leader has heard the newcomer in its present life */
bool had_disk;                 /* the membership still names a former disk of the newcomer */
byte restarts;

#define IN(set, v) (((set) >> (v)) & 1)
#define ASKS(v, w) (IN(named[v] | contacts[v], w))
#define NEWS(v, set) ((contacts[v] | (set)) != contacts[v])
#define LEADS_ON (IN(named[OUTSIDER], LEADER) || IN(named[OUTSIDER], MEMBER) || IN(named[LEADER], OUTSIDER))
#define REACHABLE (IN(named[NEWCOMER], LEADER) || IN(named[NEWCOMER], MEMBER) || \
    (IN(named[NEWCOMER], OUTSIDER) && LEADS_ON) || IN(named[LEADER], NEWCOMER) || had_disk)

#ifdef SILENT_MEMBERS
#define FROM_MEMBER 0
#else
#define FROM_MEMBER MEMBERS
#endif
#ifdef SILENT_OUTSIDERS
#define FROM_OUTSIDER(w) 0
#else
#define FROM_OUTSIDER(w) contacts[w]
#endif
#ifdef NO_ANNOUNCEMENT
#define ANNOUNCED 0
#else
#define ANNOUNCED MEMBERS
#endif
#ifdef FORMER_DISK_MUTE
#define FROM_WRITER 0
#else
#define FROM_WRITER 1
#endif

inline restart(v) {
    restarts++;
    contacts[v] = 0;
    if :: v == NEWCOMER -> heard = false :: else fi
}

active proctype Group() {
    byte set;
    select(set : 0 .. 15); named[LEADER] = set;
    select(set : 0 .. 15); named[OUTSIDER] = set;
    select(set : 0 .. 15); named[NEWCOMER] = set;
    if :: had_disk = true :: had_disk = false fi;
    do
    :: d_step { ASKS(NEWCOMER, LEADER) && !heard -> heard = true }
    :: d_step { (ASKS(NEWCOMER, LEADER) || ASKS(NEWCOMER, MEMBER)) && NEWS(NEWCOMER, FROM_MEMBER) ->
        contacts[NEWCOMER] = contacts[NEWCOMER] | FROM_MEMBER }
    :: d_step { (ASKS(OUTSIDER, LEADER) || ASKS(OUTSIDER, MEMBER)) && NEWS(OUTSIDER, FROM_MEMBER) ->
        contacts[OUTSIDER] = contacts[OUTSIDER] | FROM_MEMBER }
    :: d_step { ASKS(NEWCOMER, OUTSIDER) && NEWS(NEWCOMER, FROM_OUTSIDER(OUTSIDER)) ->
        contacts[NEWCOMER] = contacts[NEWCOMER] | FROM_OUTSIDER(OUTSIDER) }
    :: d_step { ASKS(OUTSIDER, NEWCOMER) && NEWS(OUTSIDER, FROM_OUTSIDER(NEWCOMER)) ->
        contacts[OUTSIDER] = contacts[OUTSIDER] | FROM_OUTSIDER(NEWCOMER) }
    :: d_step { IN(named[LEADER], OUTSIDER) && NEWS(OUTSIDER, ANNOUNCED) ->
        contacts[OUTSIDER] = contacts[OUTSIDER] | ANNOUNCED }
    :: d_step { IN(named[LEADER], NEWCOMER) && NEWS(NEWCOMER, ANNOUNCED) ->
        contacts[NEWCOMER] = contacts[NEWCOMER] | ANNOUNCED }
    :: d_step { had_disk && NEWS(NEWCOMER, FROM_WRITER) ->
        contacts[NEWCOMER] = contacts[NEWCOMER] | FROM_WRITER }
    :: d_step { restarts < RESTARTS -> restart(OUTSIDER) }
    :: d_step { restarts < RESTARTS -> restart(NEWCOMER) }
    :: else -> break
    od;
    assert(heard || !REACHABLE)
}
