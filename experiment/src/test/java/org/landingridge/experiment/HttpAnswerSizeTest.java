package org.landingridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.emulator.LoopbackCluster;
import org.landingridge.net.BodyLimits;
import org.landingridge.net.Http;
import org.landingridge.net.HttpClient;
import org.landingridge.net.HttpServer;
import org.landingridge.net.XnioEventLoop;
import org.xnio.XnioWorker;

/** Guards against an answer that is too large to be read being taken for one that was lost, over real connections. */
class HttpAnswerSizeTest {
    private static final String HOST = "127.0.0.1";
    private static final int TIMEOUT_MS = 10_000;

    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final HttpClient client;

    HttpAnswerSizeTest() throws IOException {
        worker = XnioEventLoop.worker();
        loop = new XnioEventLoop(worker.getIoThread());
        client = new HttpClient(worker.getIoThread(), loop, 4);
    }

    @AfterEach
    void stopWorker() {
        worker.shutdownNow();
    }

    private Http.Reply callServerThatAnswers(int bytes) throws Exception {
        int port = LoopbackCluster.freePort();
        HttpServer server = new HttpServer(
                worker,
                new InetSocketAddress(HOST, port),
                BodyLimits.ofHeap(1_024),
                exchange -> exchange.answer(200, new byte[bytes]));
        server.start();
        CompletableFuture<Http.Reply> reply = new CompletableFuture<>();
        loop.after(0, () -> client.call(HOST + ":" + port, "GET", "/", null, TIMEOUT_MS, reply::complete));
        try {
            return reply.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } finally {
            server.stop();
        }
    }

    @Test
    @DisplayName("the largest answer is read, a larger one is told from a lost one")
    void answerIsReadUpToTheLimit() throws Exception {
        Http.Reply largest = callServerThatAnswers(Http.MAX_ANSWER_BYTES);
        assertEquals(Http.Outcome.ANSWERED, largest.outcome());
        assertEquals(Http.MAX_ANSWER_BYTES, largest.body().length);
        assertEquals(
                Http.Outcome.TOO_LARGE,
                callServerThatAnswers(Http.MAX_ANSWER_BYTES + 1).outcome());
    }
}
