"""How long a thread of a process with many stand-ins may keep the interpreter."""

import sys

#: seconds for which a thread may keep the interpreter. Stand-ins have up to thousands
#: of threads, and each that waits for it wakes up so often, which takes several cores
#: at the default of 0.005 s. They hold it for much shorter times themselves.
SWITCH_INTERVAL_S = 0.1


def lengthen_switch_interval():
    """Let threads of this process wake up less often while they wait."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
