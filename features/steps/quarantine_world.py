"""Quarantines without processes."""

from kumquatseam.peers import InstanceRecord, NoDatagrams, RendezvousOrder
from kumquatseam.quarantine import DirectNoticeChannel, Quarantine, QuarantineParts


def single_instance_quarantine():
    """Return the quarantine of an instance without others, which probes nothing."""
    records = (InstanceRecord("alone", "127.0.0.1:1"),)
    link = NoDatagrams()
    return Quarantine(
        QuarantineParts(
            "alone",
            RendezvousOrder(lambda: records),
            link,
            DirectNoticeChannel(link, list),
            None,
            later=lambda delay_s, function, *arguments: None,
        )
    )
