"""The same guard as a FastAPI dependency, for single routes. Needs the extra ``[asgi]``."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from fastapi import FastAPI, HTTPException, Request, Response
from starlette.responses import Response as PlainResponse

from brackenloft.asgi import problem as problems
from brackenloft.asgi.mapping import Mapped, Mapper
from brackenloft.checks import FieldError
from brackenloft.edge import Admission, Edge, EdgeClosed


class Turned(HTTPException):
    """Turned away; ``install`` makes problem details of it, FastAPI's own handler a plain ``detail``."""

    def __init__(self, problem: problems.Problem) -> None:
        headers = {name.decode(): value.decode() for name, value in problem.headers}
        super().__init__(problem.status, problem.detail, headers)
        self.problem = problem


async def _problem_response(_: Request, error: Any) -> Response:
    problem: problems.Problem = error.problem
    headers = {name.decode(): value.decode() for name, value in problem.headers}
    return PlainResponse(problem.body(), problem.status, headers, problems.MEDIA_TYPE.decode())


def install(app: FastAPI) -> None:
    """Answer what a dependency turns away with problem details (RFC 9457)."""
    app.add_exception_handler(Turned, _problem_response)


def admitted(edge: Edge, mapper: Mapper) -> Callable[..., Any]:
    """A dependency that yields the ``Admission`` and gives the place back after the answer was sent.

        @app.get("/boards", dependencies=[Depends(admitted(edge, mapper))])

    The mapper gives ``Admit``, or None for a request that is free.
    """

    async def dependency(request: Request, response: Response) -> AsyncIterator[Admission | None]:
        call = None
        try:
            mapped = mapper(request.scope)
            found: Mapped = await mapped if isinstance(mapped, Awaitable) else mapped
            call = found.call if found else None
            context = edge.admit(call) if call else None
            admission = await context.__aenter__() if context else None
        except FieldError as error:
            raise Turned(problems.for_field(error)) from error
        except EdgeClosed as error:
            raise Turned(problems.CLOSED) from error
        if admission is None or call is None:
            yield None
            return
        headers = problems.quota_headers(call.plan, edge.allowance(call))
        if not admission.granted:
            may_advise = edge.settings.limits.can_advise_retry
            raise Turned(problems.for_answer(admission.answer, headers, may_advise))
        try:
            for name, value in headers:
                response.headers[name.decode()] = value.decode()
            yield admission
        except BaseException:
            admission.failed = True
            raise
        finally:
            admission.release()

    return dependency
