/*
 * Leader discovery by control VMs outside the group: when no VM can learn of another one any more,
 * the leader has received a probe of every outside VM that is connected to the group by a chain of
 * configured names.
 * Code: src/control/replica/contacts.rs and the probes of src/control/replica/formation.rs.
 *
 * VM 0 is the leader and VM 1 another member; VMs 2 and 3 are outside the group. The settings of each
 * VM name any subset of the VMs. VM 3 is the one that the leader has to hear from; the group may still
 * send messages to a former disk of it. Outside VMs restart and lose the contacts named to them.
 * Messages are lost or reordered by taking a step later; a message that is sent repeatedly arrives
 * eventually.
 *
 * Switches that remove a safeguard; the checker must find a violation with each of them:
 *   SILENT_MEMBERS     a probed member does not name the members
 *   SILENT_OUTSIDERS   an outside VM does not forward the contacts named to it
 *   NO_ANNOUNCEMENT    the leader sends no contacts to the outside VMs in its settings
 *   FORMER_DISK_MUTE   a message for a former disk is dropped without recording its sender
 */
#define VMS 4
#define LEADER 0
#define MEMBER 1
#define OUTSIDER 2
#define NEWCOMER 3
#define MEMBERS 3              /* the set of VMs 0 and 1 */
#define RESTARTS 2

byte named[VMS];               /* in the settings, as sets of VMs */
byte contacts[VMS];            /* named by other VMs, as sets */
bool heard;                    /* the leader has received a probe of the newcomer since its last restart */
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
