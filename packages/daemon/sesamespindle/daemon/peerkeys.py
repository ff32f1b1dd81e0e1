"""The key by which daemons know each other's calls."""

import grpc
import grpc.aio

KEY_METADATA = "peer-key"


class KeyInterceptor(grpc.aio.ServerInterceptor):
    """Rejects calls without the key that all daemons share, before they are read.

    Guards against messages of callers that are no peers, which would be held whole
    before anything looks at them.

    Parameters
    ----------
    key : str
        The shared key.
    """

    def __init__(self, key):
        self._key = key
        # The message of a call with a stream is read only when its handler asks.
        self._reject = grpc.stream_unary_rpc_method_handler(_reject)

    async def intercept_service(self, continuation, handler_call_details):
        """Return the handler of a call, or one that rejects it."""
        metadata = handler_call_details.invocation_metadata
        keys = [value for name, value in metadata if name == KEY_METADATA]
        if keys != [self._key]:
            return self._reject
        return await continuation(handler_call_details)


async def _reject(requests, context):
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "not a peer")
