"""A registry by Eureka's public REST operations: leases, self-preservation, a delta window, odd forms.

``Registry`` has no sockets and is given its clock; ``RegistryServer`` serves it on loopback.
Written from the specification, not from our client: one that nobody here wrote is run against it too.
"""

from brackenloft.standins.eureka.documents import compact, show, single, xml
from brackenloft.standins.eureka.lease import Info, Lease
from brackenloft.standins.eureka.registry import Registry
from brackenloft.standins.eureka.server import Faults, RegistryServer

__all__ = ["Faults", "Info", "Lease", "Registry", "RegistryServer", "compact", "show", "single", "xml"]
