"""Which services routes had lately.

An operator may move a route to another service, split it, or add a route that takes
over a part of its paths. Callers come back for a while with streams that an earlier
service began.
"""

import collections

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

        Parameters
        ----------
        before : routes.Configuration or None
            The configuration before it; None if this is the first one.
        after : routes.Configuration
            The configuration after it.
        now : datetime.datetime
            The current time.
        """
        earlier_by_route = _earlier_routes(before, after) if before is not None else {}
        resumable = _resumable(after)
        self._until_by_service_by_route = {
            _key(route): self._earlier_services(
                route, earlier_by_route.get(_key(route), ()), now
            )
            for route in resumable
        }
        self.divided = tuple(
            route for route in resumable if len(self.services(route, now)) > 1
        )

    def _earlier_services(self, route, earlier_routes, now):
        """Return until when each service counts that a route doesn't have any more."""
        until_by_service = {}
        for earlier in earlier_routes:
            known = self._until_by_service_by_route.get(_key(earlier), {})
            until_by_service |= {
                name: until for name, until in known.items() if now <= until
            }
            for share in earlier.shares:
                until_by_service[share.service] = now + streamversions.SEEN_FOR
        for share in route.shares:
            until_by_service.pop(share.service, None)
        return until_by_service


def _earlier_routes(before, after):
    """Return the resumable routes that had paths of each route before a change."""
    earlier_by_route = collections.defaultdict(list)
    for route in _resumable(after):
        earlier = before.match(route.host, route.prefix)
        if earlier is not None and earlier.repeats is routes.Repeats.RESUMABLE:
            earlier_by_route[_key(route)].append(earlier)
    for earlier in _resumable(before):
        route = after.match(earlier.host, earlier.prefix)
        if route is not None:
            earlier_by_route[_key(route)].append(earlier)
    return earlier_by_route


def _resumable(configuration):
    return [
        route
        for route in configuration.routes
        if route.repeats is routes.Repeats.RESUMABLE
    ]


def _key(route):
    return route.host.lower(), route.prefix
