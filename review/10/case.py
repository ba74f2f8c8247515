"""The last tenants, and with them the last keys, are taken out of the desired state. Requesters go on
with a key that was taken away, and one tries a key that was never held. TROUBLE=0: the tenants stay."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
import channel  # noqa: E402
import rig as stand_ins  # noqa: E402
import runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECOND_KEY = "fqasnmgkcuyj8pjbvk9m"
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
REQUESTS = 10
CALM_S = 5.0
# configApplyMs is 2.5 s.
APPLIED_S = 4.0


def ask(rig, number, key):
    """The status, and the servers that ran the request."""
    request_id = "%016x" % (0x6B65790000000000 + number)
    held, stand_ins.KEY = stand_ins.KEY, key
    try:
        link = channel.Channel(rig, rig.entries[number % len(rig.entries)])
        status, _ = link.exchange("/book/" + request_id, request_id, [], 4_000)
        link.close()
    finally:
        stand_ins.KEY = held
    runs = rig.runs_of(request_id)
    rig.record.add("key %s: status %s, run by %s, tenant %s" % (
        key, status, [run[0] for run in runs], [run[1].get("tenant") for run in runs]))
    return status, len(runs)


def tenants():
    return [{"name": stand_ins.TENANT, "apiKeys": [stand_ins.KEY], "priority": 1, "isolated": False},
            {"name": "jeye930", "apiKeys": [SECOND_KEY], "priority": 1, "isolated": True}]


def play(rig):
    time.sleep(CALM_S)
    if ask(rig, 0, stand_ins.KEY) != (200, 1) or ask(rig, 1, NEVER_HELD) != (401, 0):
        raise stand_ins.CannotRun("the keys are not in force before the disruption")
    config = stand_ins.default_config(version=9)
    config["tenants"] = [] if TROUBLE else tenants()
    rig.put_config(config)
    time.sleep(APPLIED_S)
    never = [ask(rig, 100 + number, NEVER_HELD) for number in range(REQUESTS)]
    dropped = [ask(rig, 200 + number, key) for number in range(REQUESTS // 2)
               for key in (stand_ins.KEY,)]
    ran = sum(runs for _, runs in never)
    rig.record.add("of %d requests with a key that no desired state ever held, %d ran" % (
        len(never), ran))
    rig.record.add("of %d requests with the first tenant's key, %d ran (it was %s)" % (
        len(dropped), sum(runs for _, runs in dropped), "taken away" if TROUBLE else "kept"))
    return stand_ins.BROKEN if ran else stand_ins.HELD


def start():
    config = stand_ins.default_config()
    config["tenants"] = tenants()
    return stand_ins.Rig(entries=2, servers=3, config=config)


if __name__ == "__main__":
    runner.main(HERE, TROUBLE, start, play)
