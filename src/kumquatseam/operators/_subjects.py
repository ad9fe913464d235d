"""What operators can ask for, and the columns of each answer."""

#: columns by subject, in the order they are printed.
SUBJECT_COLUMNS: dict[str, tuple[str, ...]] = {
    "running": (
        "router",
        "request",
        "team",
        "model",
        "upstream",
        "zone",
        "priority",
        "age_s",
    ),
    "cached": (
        "router",
        "upstream",
        "zone",
        "model",
        "version",
        "epoch",
        "blocks",
        "lost_batches",
    ),
    "leaving": ("router", "upstream", "zone", "model", "reason", "load"),
    "refused": ("router", "request", "team", "model", "reason", "run", "age_s"),
    "routers": ("router", "member", "state", "offset"),
    "teams": (
        "router",
        "team",
        "priority",
        "model",
        "upstream",
        "service",
        "max_running",
    ),
    "priorities": ("router", "priority", "rank", "max_queue_ratio"),
    "models": ("router", "model", "version", "adapters"),
    "upstreams": ("router", "upstream", "zone", "model", "slots", "state", "live"),
    "services": ("router", "service", "zone", "urls", "repeatable_methods"),
}
