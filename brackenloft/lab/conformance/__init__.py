"""What an action means: scripts that the driver on sockets and the world in virtual time both play alike."""

from brackenloft.lab.conformance.script import SCRIPTS, Script, Trace

__all__ = ["SCRIPTS", "Script", "Trace"]
