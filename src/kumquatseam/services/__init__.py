"""Everything the router needs to call plain services.

:class:`ServiceClient` is the interface, :class:`HttpServiceClient` calls over
HTTP; :class:`ServiceCall` and :class:`ServiceAnswer` are what they exchange.
"""

from kumquatseam.services._client import (
    HttpServiceClient,
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)

__all__ = ["HttpServiceClient", "ServiceAnswer", "ServiceCall", "ServiceClient"]
