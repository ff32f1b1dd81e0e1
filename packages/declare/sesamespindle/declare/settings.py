"""The settings of one daemon: defaults, settings file, and secrets."""

import datetime
import pathlib
import typing

import pydantic
import yaml

from sesamespindle.decide import routing
from sesamespindle.declare import findings, kinds, units, yamlfile

TOKEN_KEY_VARIABLE = "SESAMESPINDLE_TOKEN_KEY"
ADMIN_KEY_VARIABLE = "SESAMESPINDLE_ADMIN_KEY"
_MIN_KEY_LENGTH = 16
_SECRET_VARIABLE_BY_NAME = {
    "token_key": TOKEN_KEY_VARIABLE,
    "admin_key": ADMIN_KEY_VARIABLE,
}

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535, strict=True)]
Positive = typing.Annotated[int, pydantic.Field(ge=1, strict=True)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(_Section):
    """An address to listen on; port 0 lets the operating system choose one."""

    host: pydantic.IPvAnyAddress
    port: Port


class Statsd(_Section):
    """The address that metrics are sent to; an empty host turns them off."""

    host: str
    port: Port
    prefix: str


class Log(_Section):
    """The format and the lowest level of log lines."""

    format: typing.Literal["text", "json"]
    level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Limits(_Section):
    """Limits on callers' requests.

    Attributes
    ----------
    body_bytes, header_bytes : int
        The largest body and the largest headers, in bytes.
    json_depth : int
        The deepest nesting of a JSON body.
    body_timeout : datetime.timedelta
        How long the body may take to arrive.
    header_timeout, idle_timeout : datetime.timedelta
        How long the headers may take to arrive, and how long a connection may be idle.
    memory_bytes, descriptors : int
        What the process may take; callers' connections give way before it takes more.
    """

    body_bytes: Positive
    header_bytes: Positive
    json_depth: Positive
    body_timeout: units.Duration
    header_timeout: units.Duration
    idle_timeout: units.Duration
    memory_bytes: Positive
    descriptors: Positive


class Policy(_Section):
    """Parameters of the decision logic; see `sesamespindle.decide.world.Policy`."""

    queue_patience: units.Duration
    first_token_patience: units.Duration
    call_timeout: units.Duration
    prompt_timeout: units.Duration
    retry_after: units.Duration
    routing: routing.Routing
    grant_lifetime: units.Duration
    suspect_after: units.Duration


class Settings(_Section):
    """The complete configuration that a daemon reads at its start.

    Attributes
    ----------
    listen, peers, admin : Address
        The addresses for callers, for other daemons and for operators.
    seeds : tuple of str
        Peer addresses for the first contact with other daemons.
    token_key, admin_key : pydantic.SecretStr
        The secret that all daemons share, for tokens and for messages between
        them; and the key of operators.
    engine_silence : datetime.timedelta
        The idle timeout of engine streams.
    entries_per_account : int
        How many entries an account is directed to.
    entries_kept_for : datetime.timedelta
        How long callers may cache the list of entries.
    shutdown_grace : datetime.timedelta
        How long a leaving daemon waits for requests in flight.
    event_log_size : int
        The number of events that the event log keeps.
    """

    name: kinds.Name
    data_centre: kinds.Name
    region: str
    listen: Address
    peers: Address
    admin: Address
    seeds: tuple[str, ...]
    platform_url: pydantic.HttpUrl
    token_key: pydantic.SecretStr = pydantic.Field(min_length=_MIN_KEY_LENGTH)
    admin_key: pydantic.SecretStr = pydantic.Field(min_length=_MIN_KEY_LENGTH)
    statsd: Statsd
    log: Log
    limits: Limits
    policy: Policy
    tick: units.Duration
    host_list_interval: units.Duration
    load_interval: units.Duration
    engine_silence: units.Duration
    watch_timeout: units.Duration
    platform_timeout: units.Duration
    entries_per_account: Positive
    entries_kept_for: units.Duration
    shutdown_grace: units.Duration
    ticket_lifetime: units.Duration
    event_log_size: Positive

    @property
    def tick_seconds(self):
        """Return the time between ticks, in seconds."""
        return self.tick / datetime.timedelta(seconds=1)


def load(path, environment):
    """Return the settings of a file, with defaults for the keys that it omits.

    Parameters
    ----------
    path : str or pathlib.Path
        The YAML file.
    environment : mapping
        The environment variables. A secret that is set there takes precedence over
        the file's.

    Returns
    -------
    settings : Settings
        The validated settings.

    Raises
    ------
    findings.FindingsError
        With all errors in the file.
    """
    path = pathlib.Path(path)
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise findings.FindingsError(
            [findings.Finding(str(path), 1, 1, "unreadable", str(error))]
        ) from error
    documents = yamlfile.read(str(path), text)
    if len(documents) != 1 or not isinstance(documents[0].value, dict):
        raise findings.FindingsError(
            [
                findings.Finding(
                    str(path),
                    1,
                    1,
                    "not_a_mapping",
                    "The file must contain exactly one document, a mapping.",
                )
            ]
        )
    document = documents[0]
    document.value = _merge(_defaults(), document.value)
    for name, variable in _SECRET_VARIABLE_BY_NAME.items():
        if environment.get(variable):
            document.value[name] = environment[variable]
    loaded, found = yamlfile.check(document, Settings)
    if found:
        raise findings.FindingsError(found)
    return loaded


def _defaults():
    path = pathlib.Path(__file__).with_name("defaults.yaml")
    return yaml.safe_load(path.read_text("utf-8"))


def _merge(defaults, given):
    merged = dict(defaults)
    for key, value in given.items():
        base = merged.get(key)
        if isinstance(base, dict) and isinstance(value, dict):
            value = _merge(base, value)
        merged[key] = value
    return merged
