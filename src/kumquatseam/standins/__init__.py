"""Stand-ins for the outside systems kumquatseam meets, one package each.

Only tests, the demo and the bench use them; the daemon never does.
"""
