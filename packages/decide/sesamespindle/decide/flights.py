"""Requests in flight, from their arrival to their final answer."""

import dataclasses
import datetime

from sesamespindle.decide import incarnations, kvstores, routes, sends, streamorigins

# Number of route ranks that are distinguished within one account rank. Targets
# have ten urgency levels, enough for three account ranks of three route ranks.
_ROUTE_RANKS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The properties of a caller's request that decisions depend on.

    A prompt consists of prompt parts. Each is a segment that other prompts may
    share, together with all parts before it.

    Attributes
    ----------
    host : str
        The host name that the caller asked for, without a port.
    key : str or None
        The API key; None if the caller sent none.
    deadline : datetime.datetime or None
        When the caller stops waiting for the answer.
    model : str
        The model of a prompt; empty for other requests.
    prompt : tuple of kvstores.Part
        The parts of the prompt, in order.
    answer_tokens : int
        The maximum length of the answer, in tokens.
    body_bytes : int
        Length of the body; -1 if it is unknown.
    content : bytes or None
        Digest of the body by `fingerprints.of_content`; None if the whole body
        isn't known.
    passport : sends.Passport or None
        Set if a peer asks this host to carry the request.
    software : str
        The software version at which a peer needs the request to be carried on; empty
        for any.
    resumes : str
        The id of the attempt that brought the first event of the stream that the
        caller takes up again; empty if the caller names none.
    last_event_id : str
        The id of the last event that the caller has; empty if it has none.
    origin : streamorigins.Origin or None
        Where that stream began, if it is known.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    deadline: datetime.datetime | None
    model: str = ""
    prompt: tuple[kvstores.Part, ...] = ()
    answer_tokens: int = 0
    body_bytes: int = -1
    content: bytes | None = None
    passport: sends.Passport | None = None
    software: str = ""
    resumes: str = ""
    last_event_id: str = ""
    origin: streamorigins.Origin | None = None

    @property
    def takes_up(self):
        """Whether the caller wants the rest of a stream."""
        return bool(self.resumes or self.last_event_id)

    @property
    def affinity(self):
        """The id that all requests with the same shared parts have, or "".

        The last part of a prompt belongs to the request alone, so this is the id of
        the part before it.
        """
        return self.prompt[-2].part_id if len(self.prompt) > 1 else ""

    @property
    def prompt_tokens(self):
        """The length of the prompt, in tokens."""
        return sum(part.tokens for part in self.prompt)

    @property
    def held_tokens(self):
        """The most tokens whose KV cache an engine holds until the run ends."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(slots=True)
class Flight:
    """A request that has no final answer yet.

    Attributes
    ----------
    service : str
        The service whose targets it is sent to.
    until : datetime.datetime
        Its deadline: the end of the route's timeout, or the caller's if sooner.
    fingerprint : str
        Identifies the request in crash detection. All attempts of the same request
        have the same one; it is empty if it is unknown.
    parts : tuple of str
        The fingerprints of the parts of its prompt that other prompts may share.
    incarnation : incarnations.TargetIncarnation or None
        The target incarnation of its last send.
    sends : int
        Number of sends to targets.
    runs : int
        Number of ended sends after which a target may have begun to run it.
    sent_at : datetime.datetime or None
        When the send in flight began; None while there is none.
    tried : set of incarnations.TargetIncarnation
        The target incarnations that it was sent to.
    version : int or None
        The weight version of its last send; None for plain services.
    begun_at : datetime.datetime or None
        When the answer to its last send began to arrive; None if it has not.
    has_passed : bool
        Whether the parts of its prompt are known to run well.
    carrier : str
        The name of the peer that carries it now; empty if none does.
    has_carrier_answered : bool
        Whether that peer has begun to answer, be it with a refusal.
    failed_from : datetime.datetime or None
        When its first send began that reached no target or got no answer.
    software : str
        The software version that began its stream, the only one at which the stream may
        go on; empty if it may be any.
    sent_software : str
        The software version of the target of its last send.
    asked : asking.Asked or None
        What keepers of engines have answered for its next send; None if none was
        asked.
    counted : dict
        The peer addresses of the keepers that may count it, each with the number under
        which it is counted, by target incarnation.
    last_ending : sends.Ending or None
        How its last send ended; None before the first has ended.
    arrivals : int
        Number of ended sends that may have reached a target, also one that turned the
        request away.
    send_paid_at, retry_paid_at : datetime.datetime or None
        When its last send, and its next one, were taken from the retry budget; None
        if they weren't.
    rejections : int
        Number of sends that targets turned away, counted where requests may wait.
    forgiven_sends : int
        How many of them don't count as tries, as it has waited since.
    waiter : waitqueue.Waiter or None
        What is known of its wait at this host; None if it never waited.
    """

    request: Request
    route: routes.Route
    service: str
    account: routes.Account | None
    arrived_at: datetime.datetime
    until: datetime.datetime
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    incarnation: incarnations.TargetIncarnation | None = None
    sends: int = 0
    runs: int = 0
    sent_at: datetime.datetime | None = None
    tried: set = dataclasses.field(default_factory=set)
    version: int | None = None
    begun_at: datetime.datetime | None = None
    has_passed: bool = False
    carrier: str = ""
    has_carrier_answered: bool = False
    failed_from: datetime.datetime | None = None
    last_ending: object | None = None
    arrivals: int = 0
    send_paid_at: datetime.datetime | None = None
    retry_paid_at: datetime.datetime | None = None
    software: str = ""
    sent_software: str = ""
    asked: object | None = None
    counted: dict = dataclasses.field(default_factory=dict)
    rejections: int = 0
    forgiven_sends: int = 0
    waiter: object | None = None

    def begin_send(self):
        """Count a send that begins now, which uses up what was paid for it."""
        self.sends += 1
        self.send_paid_at, self.retry_paid_at = self.retry_paid_at, None

    def end_send(self, ending):
        """Record how its last send ended.

        What was paid for a send that reached no target is left for the next one.
        """
        self.last_ending = ending
        if ending in sends.NOT_ARRIVED:
            self.retry_paid_at = self.retry_paid_at or self.send_paid_at
        else:
            self.arrivals += 1

    @property
    def owes_retry(self):
        """Whether its next send has to be taken from the retry budget yet."""
        return self.arrivals > 0 and self.retry_paid_at is None

    @property
    def has_begun(self):
        """Whether an answer to its last send has begun to arrive."""
        return self.begun_at is not None

    @property
    def keys(self):
        """The fingerprints by which crashes may be attributed to it."""
        return (self.fingerprint, *self.parts) if self.fingerprint else self.parts

    @property
    def urgency(self):
        """The urgency that a target sorts the request by, 0 first.

        The account's rank comes before the route's. The route's rank orders requests
        of accounts of equal rank, so that their short prompts don't wait behind long
        ones.
        """
        account_rank = route_rank = self.route.rank
        if self.account is not None and self.account.rank is not None:
            account_rank = self.account.rank
        return account_rank * _ROUTE_RANKS + min(route_rank, _ROUTE_RANKS - 1)

    def is_engine_prompt(self, service):
        """Return whether it is a prompt, and a service is known and has engines."""
        return service is not None and bool(service.engines and self.request.model)
