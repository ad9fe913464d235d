"""Client for calls to plain services.

:class:`ServiceClient` is the interface, :class:`HttpServiceClient` calls over
HTTP; :class:`ServiceCall` and :class:`ServiceResponse` are its
request and response.
"""

from kumquatseam.services._client import (
    HttpServiceClient,
    ServiceCall,
    ServiceClient,
    ServiceResponse,
)

__all__ = ["HttpServiceClient", "ServiceResponse", "ServiceCall", "ServiceClient"]
