package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.emulator.LoopbackCluster;
import org.landingridge.net.BodyLimits;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.xnio.XnioWorker;

/** Guards against large request bodies that arrive slowly taking all memory of a process, over real connections. */
class RequestBodyMemoryTest {
    private static final String HOST = "127.0.0.1";
    private static final int LARGE_BYTES = 60_000;
    private static final int SMALL_BYTES = 600;
    /** Room for one large body, but not for two. */
    private static final BodyLimits LIMITS = new BodyLimits(64 * 1024, 100_000);

    private static final int TIMEOUT_MS = 10_000;
    private static final int RETRY_MS = 20;

    private final int port = LoopbackCluster.freePort();
    private final XnioWorker worker;
    private final HttpServer server;

    RequestBodyMemoryTest() throws IOException {
        worker = XnioEventLoop.worker();
        server = new HttpServer(
                worker, new InetSocketAddress(HOST, port), LIMITS, exchange -> exchange.answer(200, new byte[0]));
    }

    @BeforeEach
    void startServer() {
        server.start();
    }

    @AfterEach
    void stopServer() {
        server.stop();
        worker.shutdownNow();
    }

    private Socket send(String bodyHeader, byte[] body) throws IOException {
        Socket socket = new Socket(HOST, port);
        socket.setSoTimeout(TIMEOUT_MS);
        String head = "POST /api/jobs HTTP/1.1\r\nHost: landingridge\r\n" + bodyHeader + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(body);
        return socket;
    }

    private static int status(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        return Integer.parseInt(reader.readLine().split(" ")[1]);
    }

    private int statusOfWhole(int bytes) throws IOException {
        try (Socket socket = send("Content-Length: " + bytes, new byte[bytes])) {
            return status(socket);
        }
    }

    private void awaitStatusOfLarge(int expected) throws Exception {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        int status = statusOfWhole(LARGE_BYTES);
        while (status != expected && System.nanoTime() < end) {
            Thread.sleep(RETRY_MS);
            status = statusOfWhole(LARGE_BYTES);
        }
        assertEquals(expected, status);
    }

    @Test
    @DisplayName("while a large body is incomplete, further large ones get 503 and small ones are served")
    void largeBodiesBeyondTheLimitAreRefusedUntilOthersAreAnswered() throws Exception {
        try (Socket slow = send("Content-Length: " + LARGE_BYTES, new byte[LARGE_BYTES - 1])) {
            awaitStatusOfLarge(503);
            assertEquals(200, statusOfWhole(SMALL_BYTES));
            slow.getOutputStream().write(0);
            assertEquals(200, status(slow));
        }
        awaitStatusOfLarge(200);
    }

    @Test
    @DisplayName("a body of unknown length counts as the largest one, until its connection is closed")
    void bodyOfClosedConnectionIsNoLongerCounted() throws Exception {
        try (Socket chunked = send("Transfer-Encoding: chunked", "1\r\na\r\n".getBytes(StandardCharsets.US_ASCII))) {
            awaitStatusOfLarge(503);
        }
        awaitStatusOfLarge(200);
    }
}
