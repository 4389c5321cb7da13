package org.landingridge.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;

/** Simulated time and network. Everything happens on one thread, in an order that the seed decides. */
public final class Simulation {
    /** Sees all messages, for instance to compare their form with recorded ones. */
    public interface Observer {
        /** A request as it arrives; {@code path} with the query. */
        void request(String to, String method, String path, byte[] body);

        /** An answer as it is sent. */
        void answer(String to, String method, String path, int status, byte[] body);

        /** A record from one controller to another. */
        void record(byte[] bytes);
    }

    /** A call that throws, see {@link #throwingCalls}. */
    private static final class CallException extends RuntimeException {
        CallException(String message) {
            super(message);
        }
    }

    /** Something that waits for the end of a cut. */
    private record Held(String way, Runnable go) {}

    private record Event(long at, long order, Host host, int life, Runnable task, boolean[] cancelled) {}

    /** A machine with a power switch; timers of an earlier life never fire. */
    public final class Host implements EventLoop {
        public final String name;
        public boolean up = true;
        public int life;
        private long frozenUntil;

        Host(String name) {
            this.name = name;
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public long nanos() {
            return measured ? System.nanoTime() : now * 1_000_000;
        }

        @Override
        public long timeOfDay() {
            return 1_700_000_000_000L + now;
        }

        @Override
        public Timer after(long millis, Runnable task) {
            boolean[] cancelled = new boolean[1];
            events.add(new Event(now + Math.max(0, millis), order++, this, life, task, cancelled));
            return () -> cancelled[0] = true;
        }

        public void kill() {
            up = false;
            life++;
        }

        /** The host stands still while its clock runs on: what is due meanwhile happens afterwards, in its order. */
        public void freeze(long forMs) {
            frozenUntil = now + forMs;
        }
    }

    public final Random random;
    public long now;
    /** Null where nobody looks. */
    public Observer observer;

    private long order;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    /** Ways that are cut, by how many cuts. */
    private final Map<String, Integer> cuts = new HashMap<>();
    /** Nanoseconds are this machine's: they tell what work costs, and decide nothing. */
    public boolean measured;
    /** What is sent into a cut is lost instead of held. */
    public boolean dropping;

    private final List<Held> held = new ArrayList<>();
    /** Hosts that can send, and to which nothing arrives. */
    public final Set<String> receivingNothing = new HashSet<>();
    /** Share of messages of which a copy is delivered again late, by target host; the empty name stands for all. */
    public final Map<String, Double> copyShareByHost = new HashMap<>();
    /** What is sent to these hosts takes so many milliseconds longer, or up to that. */
    public final Map<String, Long> maxExtraDelayMsByHost = new HashMap<>();
    /** Copies come so much later at most. */
    public long maxCopyDelayMs = 30_000;
    /** Share of answers that get lost after the request was carried out, by target host. */
    public final Map<String, Double> lostAnswerShareByHost = new HashMap<>();

    /** Calls that throw, as a client library may, by name of the caller and address of the server. */
    public BiPredicate<String, String> throwingCalls = (from, address) -> false;

    public Simulation(long seed) {
        random = new Random(seed);
    }

    public Host host(String name) {
        return new Host(name);
    }

    public void listen(String addr, Host host, Server server) {
        servers.put(addr, server);
        hosts.put(addr, host);
    }

    /** Drops what a host that has died would have done, and what was cancelled. */
    public void forget(Host host) {
        events.removeIf(e -> e.host == host && e.life != host.life || e.cancelled[0]);
    }

    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event e = events.poll();
            now = e.at;
            if (e.host.frozenUntil > now && e.host.life == e.life) {
                events.add(new Event(e.host.frozenUntil, e.order, e.host, e.life, e.task, e.cancelled));
            } else if (!e.cancelled[0] && e.host.up && e.host.life == e.life) {
                runGuarded(e.task);
            }
        }
        now = until;
    }

    /** As on the real loop, a call that throws ends the task that made it and nothing else. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (CallException expected) {
            // The real loop logs it.
        }
    }

    /** Cuts the way between two hosts; what is sent meanwhile is held and delivered at the end of the cut. */
    public void cut(String a, String b) {
        cuts.merge(a + ">" + b, 1, Integer::sum);
        cuts.merge(b + ">" + a, 1, Integer::sum);
    }

    /** Holds what the first host sends to the second until the end of the cut; the other way stays open. */
    public void cutOneWay(String from, String to) {
        cuts.merge(from + ">" + to, 1, Integer::sum);
    }

    /** Ends one cut between two hosts. */
    public void heal(String a, String b) {
        for (String way : List.of(a + ">" + b, b + ">" + a)) {
            cuts.computeIfPresent(way, (w, n) -> n == 1 ? null : n - 1);
        }
        release();
    }

    /** Ends all cuts. */
    public void heal() {
        cuts.clear();
        release();
    }

    private void release() {
        List<Held> late = held.stream().filter(h -> !cuts.containsKey(h.way)).toList();
        held.removeAll(late);
        late.forEach(h -> h.go.run());
    }

    long latency() {
        return 1 + random.nextInt(3);
    }

    /** Carries something from one host to another, held while the way is cut. */
    public void deliver(Host from, Host to, Runnable task) {
        if (receivingNothing.contains(to.name)) {
            return;
        }
        Runnable go = () -> {
            to.after(
                    latency()
                            + (maxExtraDelayMsByHost.isEmpty()
                                    ? 0
                                    : random.nextInt(maxExtraDelayMsByHost
                                                    .getOrDefault(to.name, 0L)
                                                    .intValue()
                                            + 1)),
                    task);
            double share = copyShareByHost.getOrDefault(to.name, copyShareByHost.getOrDefault("", 0.0));
            if (share > 0 && random.nextDouble() < share) {
                to.after(latency() + random.nextLong(maxCopyDelayMs), task);
            }
        };
        String way = from.name + ">" + to.name;
        if (cuts.containsKey(way)) {
            if (!dropping) {
                held.add(new Held(way, go));
            }
        } else {
            go.run();
        }
    }

    /** The HTTP client of a host. */
    public Http client(Host from) {
        return (addr, method, path, body, timeoutMs, done) -> {
            if (throwingCalls.test(from.name, addr)) {
                throw new CallException("the call to " + addr + " fails");
            }
            boolean[] over = new boolean[1];
            int fromLife = from.life;
            Consumer<Http.Reply> once = reply -> {
                if (!over[0]) {
                    over[0] = true;
                    done.accept(reply);
                }
            };
            Host to = hosts.get(addr);
            if (to == null || !to.up) {
                from.after(to == null ? 1 : Math.min(timeoutMs, 300), () -> once.accept(Http.Reply.NOT_SENT));
                return;
            }
            from.after(timeoutMs, () -> once.accept(Http.Reply.UNKNOWN));
            int toLife = to.life;
            deliver(from, to, () -> {
                if (to.life != toLife) {
                    return;
                }
                if (observer != null) {
                    observer.request(to.name, method, path, body == null ? new byte[0] : body);
                }
                servers.get(addr).serve(new Http.Exchange() {
                    private boolean answered;

                    @Override
                    public String method() {
                        return method;
                    }

                    @Override
                    public String path() {
                        return path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
                    }

                    @Override
                    public String query() {
                        return path.indexOf('?') < 0 ? "" : path.substring(path.indexOf('?') + 1);
                    }

                    @Override
                    public byte[] body() {
                        return body == null ? new byte[0] : body;
                    }

                    @Override
                    public void answer(int status, byte[] json, int retryAfterS) {
                        if (!answered) {
                            answered = true;
                            if (observer != null) {
                                observer.answer(to.name, method, path, status, json);
                            }
                            if (random.nextDouble() >= lostAnswerShareByHost.getOrDefault(to.name, 0.0)) {
                                // A process that has died since gets no answer: else it would go on in the next one's
                                // life, as a second controller on the same host.
                                deliver(to, from, () -> {
                                    if (from.life == fromLife) {
                                        once.accept(
                                                json.length > Http.MAX_ANSWER_BYTES
                                                        ? Http.Reply.TOO_LARGE
                                                        : new Http.Reply(Http.Outcome.ANSWERED, status, json));
                                    }
                                });
                            }
                        }
                    }
                });
            });
        };
    }
}
