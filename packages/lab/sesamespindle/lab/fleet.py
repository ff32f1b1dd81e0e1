"""A launcher for a small fleet of real processes on one machine.

It starts the stand-ins for the platform and the targets, applies the declarations of
an example, starts the daemons, and ends all these processes again.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import shutil

import yaml

from sesamespindle.declare import documents, settings
from sesamespindle.lab import processes
from sesamespindle.wire import answers

TOKEN_KEY = "lab-token-key-not-for-real-use"
ADMIN_KEY = "lab-admin-key-not-for-real-use"
_LAB = "sesamespindle.lab.main"
_DAEMON = "sesamespindle.daemon.main"
_CLI = "sesamespindle.cli.main"
_READY_SECONDS = 60.0
_POLL_SECONDS = 0.05
_ENGINE_KINDS = ("engine",)


class FleetError(Exception):
    """Raised when the declarations of the example could not be applied."""

    code = "fleet"


@dataclasses.dataclass
class Plan:
    """The processes and options of a fleet.

    Attributes
    ----------
    example : pathlib.Path
        The folder with the declarations to apply.
    folder : pathlib.Path
        The folder for settings and logs. It is deleted before the fleet starts.
    entries : int
        The number of daemons.
    engines, store_hosts, services : int
        The number of targets of each kind to start, taken from the declared targets
        of the example.
    data_centres : int
        The number of data centres of the example that the daemons are spread over.
    engine_options, store_options, platform_options : list of str
        Additional command line arguments of the stand-ins.
    proxied : frozenset of str
        Names of the targets that daemons reach only through a fault proxy.
    proxy_platform : bool
        Whether daemons reach the platform only through a fault proxy.
    settings : dict
        Settings of all daemons that differ from the defaults.
    """

    example: pathlib.Path = pathlib.Path("examples/umoja")
    folder: pathlib.Path = pathlib.Path(".run")
    entries: int = 3
    engines: int = 3
    store_hosts: int = 1
    services: int = 1
    data_centres: int = 2
    engine_options: list = dataclasses.field(default_factory=list)
    store_options: list = dataclasses.field(default_factory=list)
    platform_options: list = dataclasses.field(default_factory=list)
    proxied: frozenset = frozenset()
    proxy_platform: bool = False
    settings: dict = dataclasses.field(default_factory=dict)


def demo_key(account):
    """Return the API key of an account of the examples."""
    return f"sk-demo-{account}"


class Fleet:
    """A running fleet, as an asynchronous context manager.

    Every process that it started is ended when the context is left.

    Parameters
    ----------
    plan : Plan
        The processes and options of the fleet.
    progress : callable
        Receives a line of text for each step.

    Attributes
    ----------
    session : aiohttp.ClientSession
        For requests to the processes; closed with the fleet.
    platform : processes.Process
        The stand-in for the platform.
    process_by_name, proxy_by_name : dict
        Each `processes.Process`, and the fault proxy in front of it if there is one,
        by the name of the process.
    role_by_name : dict
        ``platform``, ``daemon``, ``engine``, ``store_host`` or ``service``, by the
        name of the process.
    """

    def __init__(self, plan, progress=lambda line: None):
        self.plan = plan
        self._progress = progress
        self._exit_stack = contextlib.AsyncExitStack()
        self._entities = documents.read_folder(plan.example)
        self.session = None
        self.platform = None
        self.process_by_name = {}
        self.role_by_name = {}
        self.proxy_by_name = {}
        self._data_centre_by_name = {}
        self._listed_url_by_name = {}

    async def __aenter__(self):
        shutil.rmtree(self.plan.folder, ignore_errors=True)
        self.plan.folder.mkdir(parents=True)
        self.session = await self._exit_stack.enter_async_context(
            answers.make_session()
        )
        try:
            await self._start_all()
        except BaseException:
            await self._stop_all()
            raise
        return self

    async def __aexit__(self, *exc_info):
        await self._stop_all()

    @property
    def accounts(self):
        """Return the names of the declared accounts."""
        return self._names("Contract")

    @property
    def models(self):
        """Return the names of the declared models."""
        return self._names("Model")

    @property
    def entry_names(self):
        """Return the names of the daemons, in the order in which they started."""
        return [name for name, role in self.role_by_name.items() if role == "daemon"]

    def names_of(self, role):
        """Return the names of the processes that have a role."""
        return [
            name
            for name, process_role in self.role_by_name.items()
            if process_role == role
        ]

    def url(self, name):
        """Return the URL of a process itself, not of a proxy in front of it."""
        return self.process_by_name[name].url

    @property
    def environment(self):
        """Return the environment variables that the operators' command line reads."""
        return {
            "SESAMESPINDLE_PLATFORM": self.platform_url,
            "SESAMESPINDLE_ADMIN_KEY": ADMIN_KEY,
        }

    @property
    def platform_url(self):
        """Return the URL of the platform's API itself, not of a proxy."""
        return self.platform.url

    async def fault(self, name, **faults):
        """Set faults of a stand-in, by name and value."""
        await self._post(f"{self.url(name)}/faults", faults)

    async def proxy_fault(self, name, **faults):
        """Set faults of the proxy in front of a process, by name and value."""
        await self._post(f"{self.proxy_by_name[name].url}/faults", faults)

    async def post(self, name, path, value):
        """Send a POST with a JSON value to a stand-in; return its decoded answer."""
        return await self._post(f"{self.url(name)}{path}", value)

    async def counts(self, name):
        """Return the counters of a stand-in."""
        async with self.session.get(f"{self.url(name)}/counts") as response:
            return await response.json()

    async def status(self, name):
        """Return the status that a daemon reports on its admin API."""
        return await self._get_from_admin(name, "/status")

    async def timeline(self, name):
        """Return the events of an entry's timeline, read from its admin API.

        Tests use this rather than the command line, which takes seconds to start on a
        busy machine; by then an entry may have finished resuming a stream.
        """
        answer = await self._get_from_admin(name, "/timeline")
        return answer["events"]

    async def _get_from_admin(self, name, path):
        url = self.process_by_name[name].announced["admin_url"]
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        async with self.session.get(f"{url}{path}", headers=headers) as response:
            return await response.json()

    async def cli(self, *arguments, environment=None):
        """Run the operators' command line; return its exit code and its output."""
        child = await asyncio.create_subprocess_exec(
            processes.sys.executable,
            "-m",
            _CLI,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=processes.environment_with(self.environment | (environment or {})),
        )
        output, _ = await child.communicate()
        return child.returncode, output.decode()

    async def start_entry(self, name, data_centre, **overrides):
        """Start a daemon and add it to the platform's host list.

        Keyword arguments override the settings of the plan for this daemon.
        """
        path = self.plan.folder / f"{name}.yaml"
        values = {
            "name": name,
            "data_centre": data_centre,
            "platform_url": self._platform_url_for_daemons(),
            **self.plan.settings,
            **overrides,
        }
        path.write_text(yaml.safe_dump(values), "utf-8")
        secrets = {
            settings.TOKEN_KEY_VARIABLE: TOKEN_KEY,
            settings.ADMIN_KEY_VARIABLE: ADMIN_KEY,
        }
        process = await processes.start(
            name, [_DAEMON, str(path)], self.plan.folder, secrets
        )
        self._register_process(name, "daemon", data_centre, process)
        await self._add_to_host_list(name, "entry", data_centre, process.announced)
        return process

    async def restart_target(self, name):
        """Restart a stand-in that was killed; it listens at a new address."""
        role = self.role_by_name[name]
        data_centre = self._data_centre_by_name[name]
        await self._start_target(name, role, data_centre)

    async def wait_ready(self, names=None):
        """Wait until daemons are ready.

        A daemon is ready if it says so, if it can use all targets at their current
        addresses, and if it considers all named daemons live.

        Parameters
        ----------
        names : list of str, optional
            The daemons to wait for; all by default.

        Raises
        ------
        TimeoutError
            If they are not ready within 60 s.
        """
        names = names or self.entry_names
        targets = {
            name
            for name, role in self.role_by_name.items()
            if role in ("engine", "store_host", "service")
        }
        async with asyncio.timeout(_READY_SECONDS):
            for name in names:
                while not await self._is_ready(name, names, targets):
                    await asyncio.sleep(_POLL_SECONDS)

    async def until(self, condition):
        """Wait until an asynchronous condition returns true.

        Raises
        ------
        TimeoutError
            If it does not do so within 60 s.
        """
        async with asyncio.timeout(_READY_SECONDS):
            while not await condition():
                await asyncio.sleep(_POLL_SECONDS)

    def describe(self):
        """Return the content of the fleet's JSON file."""
        described = [
            {
                "role": self.role_by_name[name],
                "name": name,
                "data_centre": self._data_centre_by_name[name],
                "pid": process.pid,
                "url": process.url,
                **(
                    {"admin_url": process.announced["admin_url"]}
                    if "admin_url" in process.announced
                    else {}
                ),
            }
            for name, process in self.process_by_name.items()
            if process.running
        ]
        return {
            "processes": described,
            "accounts": [
                {"name": name, "api_key": demo_key(name)} for name in self.accounts
            ],
            "models": self.models,
            "service_pools": [
                entity.model.name
                for entity in self._entities.values()
                if entity.kind == "Pool" and entity.model.targets == "service"
            ],
            "admin_key": ADMIN_KEY,
        }

    def write_description(self):
        """Write the fleet's JSON file atomically; return its path."""
        path = self.plan.folder / "fleet.json"
        draft_path = path.with_suffix(".draft")
        draft_path.write_text(json.dumps(self.describe(), indent=2), "utf-8")
        draft_path.replace(path)
        return path

    async def _start_all(self):
        plan = self.plan
        self._progress("Starting the platform.")
        arguments = [_LAB, "standin", "platform", *plan.platform_options]
        self.platform = await processes.start("platform", arguments, plan.folder)
        data_centres = self._names("DataCentre")
        self._register_process("platform", "platform", data_centres[0], self.platform)
        if plan.proxy_platform:
            self.proxy_by_name["platform"] = await self._start_proxy(self.platform)
        await self._start_targets()
        self._progress(f"Applying the declarations in {plan.example}.")
        code, output = await self.cli("apply", str(plan.example))
        if code:
            raise FleetError(output)
        used = data_centres[: plan.data_centres]
        self._progress(
            f"Starting {plan.entries} daemons in data centres {', '.join(used)}."
        )
        await asyncio.gather(
            *(
                self.start_entry(f"entry-{number + 1}", used[number % len(used)])
                for number in range(plan.entries)
            )
        )
        await self.wait_ready()
        self._progress("All daemons are ready.")

    async def _start_targets(self):
        plan = self.plan
        wanted = {
            "engine": plan.engines,
            "store_host": plan.store_hosts,
            "service": plan.services,
        }
        chosen = [
            (target.name, kind, target.data_centre)
            for kind, count in wanted.items()
            for target in self._targets_of(kind)[:count]
        ]
        names = ", ".join(name for name, _, _ in chosen)
        self._progress(f"Starting the targets {names}.")
        await asyncio.gather(*(self._start_target(*item) for item in chosen))

    def _targets_of(self, kind):
        """Return the declared targets of a kind, in the order of the declarations."""
        kind_by_pool = {
            entity.model.name: entity.model.targets
            for entity in self._entities.values()
            if entity.kind == "Pool"
        }
        return [
            entity.model
            for entity in self._entities.values()
            if entity.kind == "Target" and kind_by_pool[entity.model.pool] == kind
        ]

    async def _start_target(self, name, role, data_centre):
        plan = self.plan
        arguments = [_LAB, "standin", role.replace("_", "-")]
        if role == "engine":
            arguments += ["--version", self._version_of(name), *plan.engine_options]
        if role == "store_host":
            arguments += plan.store_options
        process = await processes.start(name, arguments, plan.folder)
        self._register_process(name, role, data_centre, process)
        announced = dict(process.announced)
        if name in plan.proxied:
            proxy = await self._start_proxy(process)
            self.proxy_by_name[name] = proxy
            announced["url"] = proxy.announced["proxy_url"]
        await self._add_to_host_list(name, role, data_centre, announced)

    async def _start_proxy(self, process):
        name = f"{process.name}-proxy"
        arguments = [_LAB, "proxy", process.url.removeprefix("http://")]
        proxy = await processes.start(name, arguments, self.plan.folder)
        self._exit_stack.push_async_callback(proxy.stop)
        return proxy

    def _platform_url_for_daemons(self):
        proxy = self.proxy_by_name.get("platform")
        return proxy.announced["proxy_url"] if proxy else self.platform.url

    def _version_of(self, target):
        pool = self._entities[f"Target/{target}"].model.pool
        for entity in self._entities.values():
            if entity.kind == "Model" and entity.model.pool == pool:
                return entity.model.version
        return "none"

    async def _add_to_host_list(self, name, role, data_centre, announced):
        self._listed_url_by_name[name] = announced["url"]
        host = {
            "name": name,
            "role": role,
            "data_centre": data_centre,
            "url": announced["url"],
            "peer_address": announced.get("peer_address", ""),
            "admin_url": announced.get("admin_url", ""),
            "state": "live",
        }
        async with self.session.put(
            f"{self.platform.url}/hosts/{name}", json=host
        ) as response:
            response.raise_for_status()

    async def _is_ready(self, name, entries, targets):
        async with self.session.get(f"{self.url(name)}/readyz") as response:
            if response.status != 200:
                return False
        status = await self.status(name)
        # Compare addresses too: after a restart a target listens at a new address, and
        # the daemon may still know the old one.
        usable = {
            item["name"]
            for item in status["targets"]
            if item["usable"] and item["url"] == self._listed_url_by_name[item["name"]]
        }
        live = {
            item["name"]
            for item in status["entries"]
            if item["state"] == "live" and item["incarnation"]
        }
        return targets <= usable and set(entries) <= live

    async def _post(self, url, value):
        async with self.session.post(url, json=value) as response:
            response.raise_for_status()
            return await response.json()

    def _register_process(self, name, role, data_centre, process):
        self.process_by_name[name] = process
        self.role_by_name[name] = role
        self._data_centre_by_name[name] = data_centre

    def _names(self, kind):
        return [
            entity.model.name
            for entity in self._entities.values()
            if entity.kind == kind
        ]

    async def _stop_all(self):
        """End the daemons before the others, so that they do not see targets fail."""
        daemons = [self.process_by_name[name] for name in self.entry_names]
        others = [
            process
            for name, process in self.process_by_name.items()
            if name not in self.entry_names
        ]
        await asyncio.gather(*(process.stop() for process in daemons))
        await asyncio.gather(*(process.stop() for process in others))
        await self._exit_stack.aclose()
