"""Each descriptor has one owner: who has closed it does not know its number any more."""

import asyncio
import select
import socket
import struct

from fakes import FakeServer, call, node, run, until

from brackenloft.net.connecting import connect

RESET = struct.pack("ii", 1, 0)  # struct linger: on, for no time


async def refused(gateway, kind):
    """Ask where each new connection to a server is reset before it is written to; the reply, the sockets."""
    sockets = []
    with socket.create_server(("127.0.0.1", 0)) as resetting:

        async def connects(sock, address):
            sockets.append(sock)
            await connect(asyncio.get_running_loop(), sock, resetting.getsockname())
            await reset_by(resetting, sock)

        gateway.servers.connect = connects
        peer = await gateway.peer()
        reply = await peer.ask(call(1, kind))
        await until(lambda: not gateway.servers.connections)
    return reply, sockets


async def reset_by(listener, sock):
    """Have the peer reset the connection, and wait until the kernel here knows."""
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    accepted.close()
    poll = select.poll()
    poll.register(sock, select.POLLHUP)
    while not poll.poll(0):
        await asyncio.sleep(0)


# Guards against a descriptor that the transport has closed and a socket object closes again.
def test_server_that_resets_as_its_connection_comes_up_leaves_no_socket_that_knows_a_closed_descriptor():
    async def test():
        async with node(FakeServer()) as gateway:
            _, sockets = await refused(gateway, "read")
            assert sockets and all(sock.fileno() == -1 for sock in sockets)
            assert gateway.servers.budget.taken["servers"] == 0

    run(test())


# Guards against an unsafe request that fails as if it may have run, though no byte of it went out.
def test_request_whose_write_the_kernel_refuses_has_never_run():
    async def test():
        async with node(FakeServer()) as gateway:
            reply, _ = await refused(gateway, "buy")
            assert reply == "-BUSY" and gateway.servers.tries == 0

    run(test())


def test_attempt_has_its_outcome_at_once_and_gives_its_place_back_whatever_its_connect_raises():
    async def test():
        async with node(FakeServer(), FakeServer()) as gateway:
            connects = []

            async def fails(sock, address):
                connects.append(sock.fileno())
                raise RuntimeError("File descriptor 9 is used by transport")

            gateway.servers.connect = fails
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == "-BUSY"
            assert len(connects) > 1  # the request went on to a further attempt
            assert gateway.servers.budget.taken["servers"] == 0
            assert all(host.coming_up == 0 for host in gateway.servers.hosts.values())

    run(test())
