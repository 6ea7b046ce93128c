from rosemaryyoke.objects.adapters import HttpObjectApi
from rosemaryyoke.standins import PlatformStandin
from rosemaryyoke.testing.builders import free_port
from rosemaryyoke.wire import HttpServer, json_request, send

HOST = {"name": "h", "address": "a", "data_centre": "d", "state": "live"}


def start():
    port = free_port()
    app = PlatformStandin().application()
    server = HttpServer("127.0.0.1", port, app, 10, "platform")
    server.start()
    return server, f"127.0.0.1:{port}"


def tell(address, what, value):
    send(json_request("POST", f"http://{address}/control/{what}", value)).unwrap()


def test_list_of_hosts_lags():
    server, address = start()
    api = HttpObjectApi(address)
    tell(address, "hosts", {"hosts": [HOST]})
    tell(address, "fault", {"list_lag_s": 600.0})
    tell(address, "hosts", {"hosts": [{**HOST, "state": "gone"}]})
    assert [host.name for host in api.hosts().unwrap()] == ["h"]
    server.stop()


def test_conditional_update_conflict():
    server, address = start()
    api = HttpObjectApi(address)
    version = api.put("a", b"1", 0).unwrap()
    assert api.put("a", b"2", 0).unwrap_err().conflict
    assert api.put("a", b"2", version).is_ok()
    assert api.put("a", b"3", version).unwrap_err().conflict
    server.stop()


def test_lost_answer_leaves_the_change():
    server, address = start()
    api = HttpObjectApi(address)
    tell(address, "fault", {"lose_answers": 1.0})
    assert api.put("a", b"1", 0).unwrap_err().maybe_applied
    assert api.get("a").unwrap().body == b"1"
    server.stop()
