import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Users' requests with bodies of less than 64 KiB, on fewer connections than a controller may hold, whose last packets come
 * two seconds later. Afterwards users ask about a job that was accepted before.
 */
public final class CaseBodies {
    private static final int CONNECTIONS = 1000;
    private static final int BODY_BYTES = 65_000;
    private static final double MOST_S = 60;

    public static void main(String[] args) throws Exception {
        Rec.open(Path.of(args[0], "record.txt"));
        Cases.Setup setup = new Cases.Setup();
        Cases cases = new Cases(setup, Path.of(args[1]));
        for (String zone : setup.zones) {
            cases.cloud.capacity.put(Cloud.pool(zone, true), 3);
            cases.cloud.capacity.put(Cloud.pool(zone, false), 5);
        }
        if (!cases.startAll()) {
            Cases.exit(2, "the controllers did not become ready");
        }
        String id = "job-000401";
        if (!cases.submit(Cases.job(id, "reelcut", "replaydesk-00", "sweep", 2, 4.0))) {
            Cases.exit(2, "the job was not accepted");
        }
        byte[] request = request();
        List<Thread> users = new ArrayList<>();
        for (String node : setup.nodes) {
            users.add(new Thread(() -> submitAll(node, request)));
        }
        users.forEach(Thread::start);
        for (Thread user : users) {
            user.join();
        }
        Rec.log("all connections of these users are closed");
        double closedAt = Rec.now();
        boolean[] answers = new boolean[3];
        while (Rec.now() < closedAt + MOST_S && !(answers[0] && answers[1] && answers[2])) {
            for (int node = 0; node < 3; node++) {
                Web.Reply reply = answers[node] ? null : cases.poll(node, id);
                answers[node] |= reply != null && reply.status() == 200;
            }
            Cases.sleep(1);
        }
        int ended = 0;
        int hanging = 0;
        for (int node = 0; node < 3; node++) {
            ended += cases.isAlive(node) ? 0 : 1;
            hanging += cases.isAlive(node) && !answers[node] ? 1 : 0;
            Rec.log(
                    "rig-%d: the process %s and %s",
                    node, cases.isAlive(node) ? "is there" : "has ended by itself", answers[node] ? "answers" : "answers nothing");
        }
        if (ended + hanging > 0) {
            Cases.exit(1, String.format(
                    "%d controllers ended by themselves, and %d are there but answered nothing for %.0f s after the load",
                    ended, hanging, MOST_S));
        }
        Cases.exit(0, "all controllers answer");
    }

    /** A submission whose list of machine types is long: a controller may refuse it, but it has to go on. */
    private static byte[] request() {
        Map<String, Object> job = Cases.job("job-000402", "reelcut", "replaydesk-00", "sweep", 1, 1.0);
        List<Object> types = new ArrayList<>();
        while (Json.text(types).length() < BODY_BYTES - 600) {
            types.add(String.format("atlas4-generation-%06d", types.size()));
        }
        job.put("rigs", types);
        byte[] body = Json.text(job).getBytes(StandardCharsets.UTF_8);
        Rec.log("each of these bodies has %d bytes", body.length);
        byte[] head = ("POST /api/jobs HTTP/1.1\r\nHost: landingridge\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        return request;
    }

    private static void submitAll(String node, byte[] request) {
        int held = Cases.trouble() ? 1000 : 0;
        List<Socket> sockets = new ArrayList<>();
        int answered = 0;
        int lost = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            try {
                Socket socket = new Socket("127.0.0.1", Integer.parseInt(node.substring(node.indexOf(':') + 1)));
                socket.setSoTimeout(5000);
                socket.getOutputStream().write(request, 0, request.length - held);
                if (held == 0) {
                    answered += socket.getInputStream().read() > 0 ? 1 : 0;
                }
                sockets.add(socket);
            } catch (java.io.IOException e) {
                lost++;
            }
        }
        Rec.log("%s: %d connections open, %d answered so far, %d lost", node, sockets.size(), answered, lost);
        Cases.sleep(2);
        for (Socket socket : sockets) {
            try {
                if (held > 0) {
                    socket.getOutputStream().write(request, request.length - held, held);
                }
            } catch (java.io.IOException e) {
                lost++;
            }
        }
        Cases.sleep(5);
        for (Socket socket : sockets) {
            try {
                answered += held > 0 && socket.getInputStream().available() > 0 ? 1 : 0;
                socket.close();
            } catch (java.io.IOException e) {
                lost++;
            }
        }
        Rec.log("%s: %d answered, %d lost", node, answered, lost);
    }
}
