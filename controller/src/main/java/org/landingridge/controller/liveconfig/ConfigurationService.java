package org.landingridge.controller.liveconfig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.landingridge.controller.settings.Settings;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Guard;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.controller.store.StateClient.Write;
import org.landingridge.controller.store.WatchCache;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.InvalidMessageException;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles operators' requests to show the configuration, list its last changes and change it. A change is one transaction that
 * writes the pages of the changed teams, a log entry and the head, each by compare-and-set. After an unknown outcome, the log
 * shows by the request's idempotency key whether the change was made.
 */
public final class ConfigurationService {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
    private static final int TRIES = 4;
    /** Size of a page without its rows, in bytes. */
    private static final int PAGE_OVERHEAD_BYTES = 60;
    /** Number of writes of a change besides its pages: the head and the log entry. */
    private static final int FIXED_WRITES = 2;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final ConfigurationView view;
    private final String host;
    private final Settings.State limits;

    public ConfigurationService(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            ConfigurationView view,
            String host,
            Settings.State limits) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.view = view;
        this.host = host;
        this.limits = limits;
    }

    /** Answers with the configuration that this controller currently uses, without reading the state service. */
    public void show(Exchange exchange) {
        Configuration holds = view.current();
        ObjectNode n = Json.object().put("host", host).put("number", holds.number());
        n.put("following", watchCache.following());
        ObjectNode teams = n.putObject("teams");
        holds.teams().forEach((name, team) -> {
            Settings.Team t = team.limits();
            ObjectNode row = teams.putObject(name)
                    .put("cpus", t.cpus())
                    .put("cpusMax", t.cpusMax())
                    .put("gpus", t.gpus())
                    .put("gpusMax", t.gpusMax());
            if (team.removed()) {
                row.put("removed", true);
            }
        });
        exchange.answer(200, Json.bytes(n));
    }

    /** Answers with the last changes, newest first. */
    public void history(Exchange exchange) {
        ObjectNode n = Json.object().put("number", view.current().number());
        ArrayNode changes = n.putArray("changes");
        view.log().forEach(r -> changes.add(r.json()));
        exchange.answer(200, Json.bytes(n));
    }

    /** Makes a change, or answers with the reason why it is refused. */
    public void change(Exchange exchange) {
        ChangeRequest request;
        try {
            request = ChangeRequest.parse(Json.parse(exchange.body()));
        } catch (InvalidMessageException e) {
            refuse(exchange, 400, e.getMessage());
            return;
        }
        attempt(exchange, request, 0);
    }

    private void attempt(Exchange exchange, ChangeRequest request, int tries) {
        if (tries >= TRIES) {
            refuse(exchange, 503, "whether the change was made is unknown: ask again with the same key");
            return;
        }
        watchCache.barrier(
                () -> decide(exchange, request, tries),
                () -> refuse(exchange, 503, "the state service does not answer: ask again with the same key"));
    }

    /** Evaluates a request behind a read barrier, so the view includes every change that was answered before the request. */
    private void decide(Exchange exchange, ChangeRequest request, int tries) {
        Configuration holds = view.current();
        for (ConfigurationRecord r : view.log()) {
            if (r.key().equals(request.key())) {
                made(exchange, r.number(), List.of());
                return;
            }
        }
        if (request.expected() >= 0 && request.expected() != holds.number()) {
            exchange.answer(
                    409,
                    Json.bytes(Json.object()
                            .put("error", "the configuration has changed meanwhile")
                            .put("number", holds.number())));
            return;
        }
        try {
            Map<String, ConfiguredTeam> after = request.apply(holds, view);
            Transaction transaction = transaction(request, holds, after);
            List<String> notes = notes(holds, after);
            if (request.dryRun()) {
                made(exchange, holds.number(), notes);
            } else {
                commit(exchange, request, transaction, notes, tries);
            }
        } catch (InvalidMessageException e) {
            refuse(exchange, 400, e.getMessage());
        }
    }

    /** A change in the form in which it is committed. */
    private record Transaction(long number, List<Guard> guards, List<Write> writes) {}

    private Transaction transaction(ChangeRequest request, Configuration holds, Map<String, ConfiguredTeam> after)
            throws InvalidMessageException {
        long number = holds.number() + 1;
        List<Long> numbers = view.pageNumbers();
        List<Map<String, ConfiguredTeam>> pages = new ArrayList<>();
        for (int i = 0; i < numbers.size(); i++) {
            pages.add(view.page(i));
        }
        Map<String, ConfiguredTeam> before = new LinkedHashMap<>();
        Set<Integer> touched = new TreeSet<>();
        for (Map.Entry<String, ConfiguredTeam> e : after.entrySet()) {
            int page = pageOf(pages, e.getKey());
            before.put(e.getKey(), page < 0 ? null : pages.get(page).get(e.getKey()));
            if (page < 0 && e.getValue() == null) {
                continue;
            }
            if (page < 0) {
                page = withRoom(pages, e.getKey(), e.getValue());
            }
            if (e.getValue() == null) {
                pages.get(page).remove(e.getKey());
            } else {
                pages.get(page).put(e.getKey(), e.getValue());
            }
            touched.add(page);
        }
        ConfigurationRecord entry = new ConfigurationRecord(
                number, request.key(), loop.timeOfDay(), request.by(), request.why(), before, after);
        List<Write> writes = new ArrayList<>();
        for (int page : touched) {
            while (numbers.size() <= page) {
                numbers.add(number);
            }
            numbers.set(page, number);
            writes.add(new Write(ConfigurationView.PAGE + page, page(number, pages.get(page)), 0));
        }
        writes.add(new Write(ConfigurationView.LOG_ROOT + number % ConfigurationView.KEPT_CHANGES, entry.json(), 0));
        writes.add(new Write(ConfigurationView.HEAD, ConfigurationView.head(number, request.key(), numbers), 0));
        check(writes);
        List<Guard> guards = new ArrayList<>();
        writes.forEach(w -> guards.add(new Guard(w.key(), watchCache.version(w.key()))));
        return new Transaction(number, guards, writes);
    }

    private static int pageOf(List<Map<String, ConfiguredTeam>> pages, String team) {
        for (int i = 0; i < pages.size(); i++) {
            if (pages.get(i).containsKey(team)) {
                return i;
            }
        }
        return -1;
    }

    private int withRoom(List<Map<String, ConfiguredTeam>> pages, String name, ConfiguredTeam team) {
        int size = Json.bytes(team.json()).length + name.length() + 4;
        for (int i = 0; i < pages.size(); i++) {
            if (Json.bytes(ConfigurationRecord.rows(pages.get(i))).length + size + PAGE_OVERHEAD_BYTES
                    <= limits.valueBytes()) {
                return i;
            }
        }
        pages.add(new LinkedHashMap<>());
        return pages.size() - 1;
    }

    private static JsonNode page(long number, Map<String, ConfiguredTeam> teams) {
        return Json.object().put("number", number).set("teams", ConfigurationRecord.rows(teams));
    }

    private void check(List<Write> writes) throws InvalidMessageException {
        if (writes.size() > limits.txnOps()) {
            throw new InvalidMessageException(
                    "the change concerns " + (writes.size() - FIXED_WRITES) + " pages of teams, of which one change may"
                            + " take " + (limits.txnOps() - FIXED_WRITES) + ": change fewer teams at once");
        }
        for (Write w : writes) {
            if (Json.bytes(w.value()).length > limits.valueBytes()) {
                throw new InvalidMessageException(w.key() + " would take more than " + limits.valueBytes()
                        + " bytes: change fewer teams at once");
            }
        }
    }

    /** Returns notes on effects that the operator may not have intended. They don't prevent the change. */
    private static List<String> notes(Configuration holds, Map<String, ConfiguredTeam> after) {
        double before = 0;
        double sum = 0;
        for (Map.Entry<String, ConfiguredTeam> e : holds.teams().entrySet()) {
            ConfiguredTeam next = after.getOrDefault(e.getKey(), e.getValue());
            before += e.getValue().limits().cpus();
            sum += next == null ? 0 : next.limits().cpus();
        }
        List<String> notes = new ArrayList<>();
        if (sum > before) {
            notes.add("guarantees now add up to " + Math.round(sum) + " processors, before " + Math.round(before));
        }
        after.forEach((name, team) -> {
            ConfiguredTeam was = holds.teams().get(name);
            if (team != null && was != null && Objects.equals(team, was)) {
                notes.add("team " + name + " stays as it is");
            }
        });
        return notes;
    }

    private void commit(
            Exchange exchange, ChangeRequest request, Transaction transaction, List<String> notes, int tries) {
        client.commit(transaction.guards, transaction.writes, answer -> {
            if (answer.ok()) {
                LOG.info("configuration {} by {}: {}", transaction.number, request.by(), request.why());
                made(exchange, transaction.number, notes);
            } else if (answer.status() == Status.CONFLICT || answer.status() == Status.UNKNOWN) {
                // A concurrent change won, or the outcome is unknown: read the current state before answering or
                // retrying.
                attempt(exchange, request, tries + 1);
            } else {
                refuse(exchange, 503, "the state service refuses the change now");
            }
        });
    }

    private static void made(Exchange exchange, long number, List<String> notes) {
        ObjectNode n = Json.object().put("number", number);
        notes.forEach(n.putArray("notes")::add);
        exchange.answer(200, Json.bytes(n));
    }

    private static void refuse(Exchange exchange, int status, String why) {
        exchange.answer(status, Json.bytes(Json.object().put("error", why)), status == 503 ? 1 : 0);
    }
}
