"""Servers from a Eureka registry, by its REST API of version 2; extra [eureka]."""
