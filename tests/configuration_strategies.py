"""Hypothesis strategies of documents and changes, shared by the tests of the configuration."""

from __future__ import annotations

from hypothesis import strategies as st

from brackenloft.configuration.model import (
    Delta,
    Items,
    Match,
    Names,
    Plan,
    Route,
    Service,
    Target,
    Tenant,
)

SERVICE_NAMES = st.sampled_from([f"service-{number}" for number in range(6)])
ROUTE_NAMES = st.sampled_from([f"route-{number}" for number in range(8)])
PLAN_NAMES = st.sampled_from([f"plan-{number}" for number in range(5)])
TENANT_NAMES = st.integers(0, 40).map(lambda number: f"{number:016x}")
RATES = st.floats(0.0, 1e6)


def services() -> st.SearchStrategy[Service]:
    return st.builds(Service, SERVICE_NAMES, st.text(max_size=8))


def routes() -> st.SearchStrategy[Route]:
    targets = st.lists(st.builds(Target, SERVICE_NAMES, st.integers(1, 100)), min_size=1, max_size=3)
    match = st.builds(Match, st.sampled_from(["", "read", "write"]), st.sampled_from(["", "a", "b"]))
    return st.builds(Route, ROUTE_NAMES, match, targets.map(tuple))


def plans() -> st.SearchStrategy[Plan]:
    return st.builds(Plan, PLAN_NAMES, RATES, RATES, st.integers(0, 1000), RATES)


def tenants() -> st.SearchStrategy[Tenant]:
    return st.builds(Tenant, TENANT_NAMES, PLAN_NAMES)


def _tuples(strategy, size: int):
    return st.lists(strategy, max_size=size, unique_by=lambda item: getattr(item, "name", item)).map(tuple)


def deltas(base: int = 0) -> st.SearchStrategy[Delta]:
    """Any typed change, whether it goes with a document or not."""
    put = st.builds(
        Items, _tuples(services(), 4), _tuples(routes(), 4), _tuples(plans(), 4), _tuples(tenants(), 12)
    )
    remove = st.builds(
        Names,
        _tuples(SERVICE_NAMES, 2),
        _tuples(ROUTE_NAMES, 2),
        _tuples(PLAN_NAMES, 2),
        _tuples(TENANT_NAMES, 4),
    )
    return st.builds(Delta, st.just(base), put, remove)


def large_items(route_count: int, tenant_count: int, plan_of_tenants: str = "") -> Items:
    """A document of a stated size; ``plan_of_tenants`` is given to all tenants, else plans alternate."""
    return Items(
        services=tuple(Service(f"service-{number}") for number in range(140)),
        routes=tuple(
            Route(
                f"route-{number}", Match("read", f"operation-{number}"), (Target(f"service-{number % 140}"),)
            )
            for number in range(route_count)
        ),
        plans=tuple(Plan(f"plan-{number}", 10.0, 20.0) for number in range(20)),
        tenants=tuple(
            Tenant(f"{number:016x}", plan_of_tenants or f"plan-{number % 20}")
            for number in range(tenant_count)
        ),
    )


def small_changes() -> st.SearchStrategy[Delta]:
    """Changes of one or two items, of which many go with a document that grew by such changes."""
    return st.one_of(
        st.builds(lambda item: Delta(0, Items(services=(item,))), services()),
        st.builds(lambda item: Delta(0, Items(plans=(item,))), plans()),
        st.builds(lambda item: Delta(0, Items(routes=(item,))), routes()),
        st.builds(lambda item: Delta(0, Items(tenants=(item,))), tenants()),
        st.builds(lambda plan, item: Delta(0, Items(plans=(plan,), tenants=(item,))), plans(), tenants()),
        st.builds(lambda name: Delta(0, remove=Names(services=(name,))), SERVICE_NAMES),
        st.builds(lambda name: Delta(0, remove=Names(plans=(name,))), PLAN_NAMES),
        st.builds(lambda name: Delta(0, remove=Names(routes=(name,))), ROUTE_NAMES),
        st.builds(lambda name: Delta(0, remove=Names(tenants=(name,))), TENANT_NAMES),
    )
