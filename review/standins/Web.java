package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers and calls of the stand-ins, on loopback addresses. */
final class Web {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("jdk.httpclient.keepalive.timeout", "20");
    }

    static final String HOST = "127.0.0.1";
    private static final ExecutorService POOL = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(POOL)
            .build();

    /** Ports that were handed out. */
    private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();

    /** What was asked. */
    record Call(String method, String path, String query, String body) {
        Map<String, String> parameters() {
            Map<String, String> parameters = new HashMap<>();
            if (query != null) {
                for (String part : query.split("&")) {
                    int equals = part.indexOf('=');
                    parameters.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            return parameters;
        }
    }

    /** What was answered; status 0 stands for no answer. */
    record Reply(int status, String body) {
        static Reply of(int status, Object json) {
            return new Reply(status, Json.write(json));
        }

        static final Reply NONE = new Reply(0, "");
    }

    interface Handler {
        Reply handle(Call call) throws InterruptedException;
    }

    private Web() {}

    /** A free port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = 12_000 + ThreadLocalRandom.current().nextInt(19_000);
            if (!PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue;
            }
        }
    }

    static void background(Runnable task) {
        POOL.execute(task);
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 512);
        server.setExecutor(POOL);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        URI uri = exchange.getRequestURI();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Reply reply;
        try {
            reply = handler.handle(new Call(exchange.getRequestMethod(), uri.getPath(), uri.getQuery(), body));
        } catch (InterruptedException | RuntimeException e) {
            e.printStackTrace();
            reply = new Reply(500, "{}");
        }
        if (reply.status == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = reply.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    /** Calls and waits for the answer, at most so long; status 0 where there is none. */
    static Reply call(String addr, String method, String path, Object body, long timeoutMs) {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(Json.write(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + addr + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Content-Type", "application/json")
                .method(method, publisher)
                .build();
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            return Reply.NONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Reply.NONE;
        }
    }
}
