"""Which services routes had lately.

An operator may move a route to another service, split it, or add a route that takes
over a part of its paths. Callers come back for a while with streams that an earlier
service began.
"""

from sesamespindle.decide import routes, streamversions


class RouteHistory:
    """Remembers the earlier services of routes whose streams may be resumed.

    Attributes
    ----------
    divided : tuple of routes.Route
        The routes that have, or had before the last change, several services.
    """

    def __init__(self):
        self.divided = ()
        # Until when a service counts, by the host and prefix of a route.
        self._until_by_service_by_route = {}

    def services(self, route, now):
        """Return the services that may have begun a stream of a route.

        Returns
        -------
        services : tuple of str
            Those of the route, then those that it had lately.
        """
        own = tuple(share.service for share in route.shares)
        until_by_service = self._until_by_service_by_route.get(_key(route))
        if not until_by_service:
            return own
        earlier = (name for name, until in until_by_service.items() if now <= until)
        return own + tuple(earlier)

    def note_change(self, before, after, now):
        """Adopt a change of the configuration.

        Its cost grows with the routes of one host name, squared.

        Parameters
        ----------
        before : routes.Configuration or None
            The configuration before it; None if this is the first one.
        after : routes.Configuration
            The configuration after it.
        now : datetime.datetime
            The current time.
        """
        earlier_by_host = {}
        for route in _resumable(before) if before is not None else ():
            earlier_by_host.setdefault(route.host.lower(), []).append(route)
        resumable = _resumable(after)
        self._until_by_service_by_route = {
            _key(route): self._earlier_services(
                route, earlier_by_host.get(route.host.lower(), ()), now
            )
            for route in resumable
        }
        self.divided = tuple(
            route for route in resumable if len(self.services(route, now)) > 1
        )

    def _earlier_services(self, route, candidates, now):
        """Return until when each service counts that a route doesn't have any more."""
        until_by_service = {}
        for earlier in candidates:
            if not _have_paths_in_common(route, earlier):
                continue
            known = self._until_by_service_by_route.get(_key(earlier), {})
            until_by_service |= {
                name: until for name, until in known.items() if now <= until
            }
            for share in earlier.shares:
                until_by_service[share.service] = now + streamversions.SEEN_FOR
        for share in route.shares:
            until_by_service.pop(share.service, None)
        return until_by_service


def _resumable(configuration):
    return [
        route
        for route in configuration.routes
        if route.repeats is routes.Repeats.RESUMABLE
    ]


def _key(route):
    return route.host.lower(), route.prefix


def _have_paths_in_common(first, second):
    return first.prefix.startswith(second.prefix) or second.prefix.startswith(
        first.prefix
    )
