"""Quarantines for tests that start no processes."""

from kumquatseam.peers import InstanceRecord, NullDatagramLink, RendezvousOrder
from kumquatseam.quarantine import Quarantine, QuarantineParts
from kumquatseam.quarantine.direct import DirectNoticeChannel


def single_instance_quarantine():
    """Return the quarantine of a single instance, which sends no probes."""
    records = (InstanceRecord("alone", "127.0.0.1:1"),)
    link = NullDatagramLink()
    return Quarantine(
        QuarantineParts(
            "alone",
            RendezvousOrder(lambda: records),
            link,
            DirectNoticeChannel(link, list),
            None,
            call_later=lambda delay_s, function, *arguments: None,
        )
    )
