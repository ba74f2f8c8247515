"""Runs a case: starts its rig, plays it, ends all processes, and writes record.txt.

The exit code tells what is seen from what went wrong: run.sh maps BROKEN_CODE to 1, and everything else
but 0 to 2, so that an error of a case is never taken for a broken rule."""

import os
import signal
import sys
import traceback

import rig as stand_ins

BROKEN_CODE = 10
NOT_RUN_CODE = 2


def stop(number, frame):
    raise SystemExit(NOT_RUN_CODE)


def main(here, trouble, start, play):
    """`start` returns the rig, and `play` what became of the rule."""
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    rig, outcome = None, stand_ins.NOT_RUN
    try:
        rig = start()
        outcome = play(rig)
    except stand_ins.CannotRun as error:
        print("cannot run: %s" % error)
        if rig is not None:
            rig.record.add("cannot run: %s" % error)
    except Exception:
        traceback.print_exc()
    finally:
        if rig is not None:
            rig.close()
            rig.record.add("TROUBLE=%d: %s" % (trouble, {
                stand_ins.HELD: "held", stand_ins.BROKEN: "broken"}.get(outcome, "not run")))
            rig.record.write(os.path.join(here, "record.txt"))
    codes = {stand_ins.HELD: 0, stand_ins.BROKEN: BROKEN_CODE}
    print({stand_ins.HELD: "held", stand_ins.BROKEN: "broken"}.get(outcome, "not run"))
    sys.exit(codes.get(outcome, NOT_RUN_CODE))
