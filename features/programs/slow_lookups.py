"""Runs a gateway on a host whose name lookups take a second."""

import runpy

import gevent
import gevent.socket

LOOKUP_S = 1.0


def _look_up(name=""):
    gevent.sleep(LOOKUP_S)
    return name


gevent.socket.getfqdn = _look_up
runpy.run_module("kumquatseam.platform", run_name="__main__")
