"""Settings of one stand-in engine."""

import attrs


@attrs.frozen
class EngineStandinSettings:
    """How a stand-in engine behaves; every time is in modelled seconds.

    Real sleeps are the modelled times multiplied by ``time_scale``.

    :param name: the replica's name, e.g. ``nyelvmodell-flotta-0``.
    :param host: address its HTTP interface binds.
    :param port: its HTTP port.
    :param events_address: nng address its events are published on.
    :param block_size_tokens: tokens per cached block.
    :param capacity_blocks: blocks its KV cache holds.
    :param prefill_ms_per_token: modelled prefill time per uncached token.
    :param decode_ms_per_token: modelled time per generated token.
    :param slots: requests decoded at once; more wait, by priority.
    :param event_interval_s: seconds between event batches.
    :param event_delay_s: cache events are published this late.
    :param event_loss_ratio: share of event batches lost.
    :param load_lag_s: load is reported this late.
    :param seed: seed of all its randomness.
    :param time_scale: real seconds per modelled second.
    :param versions: the weights it starts with, ``model=version`` each; none
        means it neither reports nor checks versions.
    :param weights_url: the weight store it loads from; empty means none.
    :param load_s: modelled seconds loading takes besides the weight store.
    :param checks_fences: refuse orders under an old fencing token.
    :param clears_cache_on_load: drop cached blocks when weights change.
    :param instances_url: the instance list it shows itself in; empty: none.
    :param zone: its availability zone, for that list.
    :param crossed_answers: fault: label every answer with another request's
        id, as a confused connection pool in between might.
    :param break_after_tokens: fault: cut every answer after this many tokens
        of one run; ``0`` means never.
    :param hang: fault: accept requests and answer nothing.
    :param limit_per_s: requests a second that it announces to accept from all routers
        together; ``None``: no limit.
    :param software: version of its software, which decides what it generates; empty
        means it states none.
    :param crashes_on: fault: a prompt with this in it crashes the engine as it
        begins to run it; empty: none does.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 8501
    events_address: str = "tcp://127.0.0.1:8601"
    block_size_tokens: int = 16
    capacity_blocks: int = 400
    prefill_ms_per_token: float = 0.2
    decode_ms_per_token: float = 4.0
    slots: int = 4
    event_interval_s: float = 0.1
    event_delay_s: float = 0.2
    event_loss_ratio: float = 0.05
    load_lag_s: float = 0.5
    seed: int = 7
    time_scale: float = 1.0
    versions: tuple[str, ...] = ()
    weights_url: str = ""
    load_s: float = 0.5
    checks_fences: bool = True
    clears_cache_on_load: bool = True
    instances_url: str = ""
    zone: str = ""
    crossed_answers: bool = False
    break_after_tokens: int = 0
    hang: bool = False
    limit_per_s: float | None = None
    software: str = ""
    crashes_on: str = ""
