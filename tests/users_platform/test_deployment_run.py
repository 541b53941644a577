"""A small fleet, built and started as the deploy file says.

Guards against a build or a start that only tests with settings and ports of
their own survive, and against callers of a kind or a node that get nothing.
"""

import asyncio
import pathlib

import deployment_run


def test_fleet_from_a_clean_clone_serves_each_kind_and_caller(
    tmp_path: pathlib.Path,
) -> None:
    clone = deployment_run.build(tmp_path)
    deployment = deployment_run.DEPLOYMENTS["small"]
    result = asyncio.run(deployment_run.play(clone, tmp_path, deployment))
    assert result.exits == {}
    assert all(node.ready_after is not None for node in result.nodes)
    kinds = result.served("calm", 1)
    callers = result.served("calm", 3)
    assert set(kinds) == {kind.name for kind in deployment.kinds}
    assert set(callers) == {node.name for node in result.nodes}
    shares = {**kinds, **callers}
    assert all(served for served, _ in shares.values()), result.report()
