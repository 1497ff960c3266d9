"""Ports that are reserved for a stand-in or a process until it listens (brackenloft.standins.ports)."""

import os
import socket

import pytest

from brackenloft.standins import ports

FEW = 3


@pytest.fixture
def few_ports(monkeypatch):
    """A range of three ports that no other worker draws from."""
    first = 12_000 + os.getpid() % 2000 * FEW
    monkeypatch.setattr(ports, "PORTS", (first, first + FEW))
    return set(range(first, first + FEW))


def test_port_that_was_drawn_is_not_drawn_again_before_it_is_listened_at(few_ports):
    """Guards against two processes of one run that are given the same port: the second one can't start."""
    reserved = [ports.ReservedPort() for _ in range(FEW)]
    assert {one.number for one in reserved} == few_ports
    with pytest.raises(OSError, match="is free"):
        ports.ReservedPort()
    again = reserved.pop().number
    assert ports.ReservedPort().number == again


def test_reserved_port_is_listened_at_again_and_again_and_is_nobody_elses_meanwhile(few_ports):
    reserved = ports.ReservedPort()
    place = ("127.0.0.1", reserved.number)
    for _ in range(2):
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(place)
        with socket.create_server(place) as listener, socket.create_connection(place) as client:
            listener.accept()[0].close()
            assert client.recv(1) == b""
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(place)
