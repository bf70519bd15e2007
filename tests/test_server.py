"""Tests of the HTTP server's listening sockets."""

import asyncio
import socket
import unittest

from dandelionpick import server


class BindTest(unittest.IsolatedAsyncioTestCase):
    """Guards against responses that wait for delayed acknowledgements."""

    async def test_accepted_connections_disable_nagles_algorithm(self):
        listener = server.bind("127.0.0.1:0")
        accepted = asyncio.get_running_loop().create_future()

        def on_connect(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted.set_result(writer)

        running = await asyncio.start_server(on_connect, sock=listener)
        async with running:
            host, port = listener.getsockname()
            _, client = await asyncio.open_connection(host, port)
            writer = await accepted
            connection = writer.get_extra_info("socket")
            option = connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY
            )
            writer.close()
            client.close()
        self.assertTrue(option)


if __name__ == "__main__":
    unittest.main()
