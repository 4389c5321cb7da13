package org.landingridge.cli;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.landingridge.net.Http.Reply;
import org.landingridge.net.HttpClient;
import org.landingridge.net.XnioEventLoop;
import org.xnio.XnioWorker;

/** One call to a controller from a shell. */
final class ControllerCall {
    private static final int TIMEOUT_MS = 10_000;

    private ControllerCall() {}

    /**
     * Calls a controller and waits for the answer.
     *
     * @param server its address for users, {@code host:port}
     * @param body the request's body, or null
     */
    static Reply to(String server, String method, String path, byte[] body) throws IOException, InterruptedException {
        XnioWorker worker = XnioEventLoop.worker();
        try {
            XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
            CompletableFuture<Reply> answer = new CompletableFuture<>();
            HttpClient client = new HttpClient(worker.getIoThread(), loop, 1);
            loop.after(0, () -> client.call(server, method, path, body, TIMEOUT_MS, answer::complete));
            return answer.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            worker.shutdownNow();
        }
    }
}
