"""ASGI middleware: quotas before a host's own routes, or routes that are sent on to board nodes.

app.add_middleware(QuotaMiddleware, edge=edge, mapper=HeaderMapper(settings))
"""

from brackenloft.asgi.mapping import Admit, Forward, HeaderMapper, Mapped, Mapper
from brackenloft.asgi.middleware import QuotaMiddleware
from brackenloft.asgi.problem import Problem

__all__ = ["Admit", "Forward", "HeaderMapper", "Mapped", "Mapper", "Problem", "QuotaMiddleware"]
