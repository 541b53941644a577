"""A sidecar loads only what it runs.

Guards against processor time spent at each start: when many VMs restart at
once, their targets wait for the nodes, which have a fraction of a core each.
"""

import os
import pathlib
import subprocess
import sys
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = """
import store_platform_adapter
from balsamramp_node.process import sidecar_cmdline
import sys
print("\\n".join(sys.modules))
"""
NOT_NEEDED = (
    "aiohttp",
    "click",
    "falcon",
    "grpc",
    "hypothesis",
    "multiprocessing",
    "uvicorn",
)


def test_sidecar_starts_without_site_packages_and_unused_libraries() -> None:
    sources = [
        str(ROOT / "packages" / name / "src")
        for name in ("core", "wire", "node")
    ]
    libraries = sysconfig.get_paths()["purelib"]
    path = [str(ROOT / "platform"), *sources, libraries]
    finished = subprocess.run(
        [sys.executable, "-S", "-c", PROGRAM],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(path)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in finished.stdout.split()}
    assert not loaded.intersection(NOT_NEEDED)
