"""Apache's and mod_jk's files become a valid operator's file; an error names the line."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from gaugesail.importer.cli import main
from gaugesail.iscsi.operator import read_operator

APACHE = """\
# the shops' covers
<Proxy "balancer://covers">
    BalancerMember http://10.1.0.1:3260 route=n1 loadfactor=2 timeout=4 connectiontimeout=300ms
    BalancerMember http://covers-2:3260 route=n2 status=+D \\
        retry=30
    ProxySet lbmethod=byrequests maxattempts=3
</Proxy>
ProxyPass /covers balancer://covers stickysession=ID timeout=6
ServerName shop
"""
JK = """\
room=10.1.0
worker.list=lb,status
worker.status.type=status
worker.template.type=ajp13
worker.template.port=3260
worker.template.reply_timeout=7000
worker.a.reference=worker.template
worker.a.host=$(room).1
worker.a.lbfactor=3
worker.b.reference=worker.template
worker.b.host=$(room).2
worker.b.activation=disabled
worker.lb.type=lb
worker.lb.balance_workers=a
worker.lb.balance_workers=b
worker.lb.sticky_session=1
"""


def run_importer(tmp_path: Path, name: str, text: str, capsys: Any, *more: str) -> tuple[int, str, str]:
    path = tmp_path / name
    path.write_text(text)
    code = main([str(path), *more])
    out, err = capsys.readouterr()
    return code, out, err.replace(f"{tmp_path}/", "")


def test_an_apache_block_becomes_an_operators_file(tmp_path: Path, capsys: Any) -> None:
    code, out, err = run_importer(tmp_path, "httpd.conf", APACHE, capsys, "--host", "covers-2=10.1.0.2")
    assert code == 0
    operator = read_operator(tomllib.loads(out), {})
    nodes = {
        name.decode(): (node.address, node.endpoint.state.name, node.endpoint.capacity)
        for name, node in operator.nodes.items()
    }
    assert nodes == {"n1": (("10.1.0.1", 3260), "READY", 2.0), "n2": (("10.1.0.2", 3260), "DRAINING", 1.0)}
    assert operator.settings.classes[0].deadline_us == 6_000_000 and operator.settings.max_attempts == 4
    assert operator.connect_timeout_us == 300_000 and len(operator.units[0].extents) == 2
    for warning in (
        "httpd.conf:4: retry",
        "httpd.conf:6: lbmethod",
        "httpd.conf:8: stickysession",
        ":9: ServerName",
    ):
        assert warning in err


def test_a_worker_file_becomes_an_operators_file(tmp_path: Path, capsys: Any) -> None:
    code, out, err = run_importer(tmp_path, "workers.properties", JK, capsys)
    assert code == 0
    operator = read_operator(tomllib.loads(out), {})
    nodes = {
        name.decode(): (node.address, node.endpoint.state.name, node.endpoint.capacity)
        for name, node in operator.nodes.items()
    }
    assert nodes == {"a": (("10.1.0.1", 3260), "READY", 3.0), "b": (("10.1.0.2", 3260), "DRAINING", 1.0)}
    assert operator.settings.classes[0].deadline_us == 7_000_000
    assert "workers.properties:16: sticky_session" in err and "'status'" in err


@pytest.mark.parametrize(
    ("name", "text", "error"),
    [
        (
            "httpd.conf",
            "<Proxy balancer://a>\nBalancerMember http://10.0.0.1:1 loadfactor=x\n</Proxy>",
            ":2: loadfactor",
        ),
        ("httpd.conf", "<Proxy balancer://a>\nBalancerMember http://10.0.0.1:99999\n</Proxy>", ":2: "),
        (
            "httpd.conf",
            "<Proxy balancer://a>\nBalancerMember http://10.0.0.1 colour=red\n</Proxy>",
            ":2: unknown",
        ),
        (
            "httpd.conf",
            "<Proxy balancer://a>\nBalancerMember http://10.0.0.1\n",
            ":1: <Proxy> has no </Proxy>",
        ),
        ("httpd.conf", "BalancerMember http://10.0.0.1\n", ":1: BalancerMember outside"),
        ("httpd.conf", "<Proxy balancer://a>\n</Proxy>", ":1: balancer 'a' has no members"),
        (
            "httpd.conf",
            "<Proxy balancer://a>\nBalancerMember http://shop:80\n</Proxy>",
            ":2: 'shop' is a name",
        ),
        ("httpd.conf", 'ProxyPass "/a', ":1: No closing quotation"),
        ("w.properties", "worker.lb.type=lb\nworker.lb.balance_workers=a", ":2: worker 'a' is not defined"),
        ("w.properties", "worker.a.host=$(room)", ":1: the macro $(room)"),
        ("w.properties", "worker.a.reference=worker.b\nworker.b.reference=worker.a", "is circular"),
        ("w.properties", "worker.a.port", ":1: expected key=value, got 'worker.a.port'"),
        ("w.properties", "worker.a.colour=red", ":1: unknown attribute"),
        ("w.properties", "worker.a.port=x\nworker.lb.type=lb\nworker.lb.balance_workers=a", ":1: port"),
    ],
)
def test_an_error_names_its_line_and_exits_with_2(
    tmp_path: Path, capsys: Any, name: str, text: str, error: str
) -> None:
    code, out, err = run_importer(tmp_path, name, text, capsys)
    assert code == 2 and not out
    assert f"{name}:" in err and error in err
