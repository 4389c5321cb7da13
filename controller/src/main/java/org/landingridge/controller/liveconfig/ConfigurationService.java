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
import org.landingridge.wire.MessageLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles operators' requests to show the configuration, list its last changes and change it. A change is one transaction that
 * writes the pages of the changed teams, a log entry and the head, each by compare-and-set. After an unknown outcome, the log
 * shows by the request's idempotency key whether the change was made.
 */
public final class ConfigurationService {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
    private static final int MAX_ATTEMPTS = 4;
    /** Size of a page without its rows, in bytes. */
    private static final int PAGE_OVERHEAD_BYTES = 60;
    /** Number of writes of a change besides its pages: the head and the log entry. */
    private static final int FIXED_WRITES = 2;

    private final StateClient client;
    private final WatchCache watchCache;
    private final EventLoop loop;
    private final ConfigurationView view;
    private final String host;
    private final Settings.State stateLimits;

    public ConfigurationService(
            StateClient client,
            WatchCache watchCache,
            EventLoop loop,
            ConfigurationView view,
            String host,
            Settings.State stateLimits) {
        this.client = client;
        this.watchCache = watchCache;
        this.loop = loop;
        this.view = view;
        this.host = host;
        this.stateLimits = stateLimits;
    }

    /** Answers with the configuration that this controller currently uses, without reading the state service. */
    public void show(Exchange exchange) {
        Configuration current = view.current();
        ObjectNode body = Json.object().put("host", host).put("number", current.number());
        body.put("following", watchCache.isFollowing());
        ObjectNode teams = body.putObject("teams");
        current.teams().forEach((name, team) -> {
            Settings.Team teamLimits = team.limits();
            ObjectNode row = teams.putObject(name)
                    .put("cpus", teamLimits.cpus())
                    .put("cpusMax", teamLimits.cpusMax())
                    .put("gpus", teamLimits.gpus())
                    .put("gpusMax", teamLimits.gpusMax());
            if (team.isRemoved()) {
                row.put("removed", true);
            }
        });
        exchange.answer(200, Json.bytes(body));
    }

    /** Answers with the last changes, newest first. */
    public void history(Exchange exchange) {
        ObjectNode body = Json.object().put("number", view.current().number());
        ArrayNode changes = body.putArray("changes");
        view.changes().forEach(change -> changes.add(change.json()));
        exchange.answer(200, Json.bytes(body));
    }

    /** Makes a change, or answers with the reason why it is refused. */
    public void change(Exchange exchange) {
        ChangeRequest request;
        try {
            request = ChangeRequest.parse(Json.parse(exchange.body()));
        } catch (InvalidMessageException e) {
            answerError(exchange, 400, e.getMessage());
            return;
        }
        tryChange(exchange, request, 0);
    }

    private void tryChange(Exchange exchange, ChangeRequest request, int attempt) {
        if (attempt >= MAX_ATTEMPTS) {
            answerError(exchange, 503, "the outcome of the change is unknown: retry with the same key");
            return;
        }
        watchCache.readBarrier(
                () -> evaluate(exchange, request, attempt),
                () -> answerError(exchange, 503, "the state service does not answer: retry with the same key"));
    }

    /** Evaluates a request behind a read barrier, so the view includes every change that was answered before the request. */
    private void evaluate(Exchange exchange, ChangeRequest request, int attempt) {
        Configuration current = view.current();
        for (ConfigurationRecord change : view.changes()) {
            if (change.key().equals(request.key())) {
                answerNumber(exchange, change.number(), List.of());
                return;
            }
        }
        if (request.expectedNumber() >= 0 && request.expectedNumber() != current.number()) {
            exchange.answer(
                    409,
                    Json.bytes(Json.object()
                            .put(
                                    "error",
                                    "the configuration has changed: expected number " + request.expectedNumber()
                                            + ", found " + current.number())
                            .put("number", current.number())));
            return;
        }
        try {
            Map<String, ConfiguredTeam> after = request.apply(current, view);
            Transaction transaction = buildTransaction(request, current, after);
            List<String> notes = collectNotes(current, after);
            if (request.dryRun()) {
                answerNumber(exchange, current.number(), notes);
            } else {
                commit(exchange, request, transaction, notes, attempt);
            }
        } catch (InvalidMessageException e) {
            answerError(exchange, 400, e.getMessage());
        }
    }

    /** A change in the form in which it is committed. */
    private record Transaction(long number, List<Guard> guards, List<Write> writes) {}

    private Transaction buildTransaction(
            ChangeRequest request, Configuration current, Map<String, ConfiguredTeam> after)
            throws InvalidMessageException {
        long number = current.number() + 1;
        List<Long> pageNumbers = view.pageNumbers();
        List<Map<String, ConfiguredTeam>> pages = new ArrayList<>();
        for (int i = 0; i < pageNumbers.size(); i++) {
            pages.add(view.page(i));
        }
        Map<String, ConfiguredTeam> before = new LinkedHashMap<>();
        Set<Integer> changedPages = new TreeSet<>();
        for (Map.Entry<String, ConfiguredTeam> entry : after.entrySet()) {
            int page = pageOf(pages, entry.getKey());
            before.put(entry.getKey(), page < 0 ? null : pages.get(page).get(entry.getKey()));
            if (page < 0 && entry.getValue() == null) {
                continue;
            }
            if (page < 0) {
                page = pageWithRoom(pages, entry.getKey(), entry.getValue());
            }
            if (entry.getValue() == null) {
                pages.get(page).remove(entry.getKey());
            } else {
                pages.get(page).put(entry.getKey(), entry.getValue());
            }
            changedPages.add(page);
        }
        ConfigurationRecord logEntry = new ConfigurationRecord(
                number, request.key(), loop.timeOfDay(), request.author(), request.reason(), before, after);
        List<Write> writes = new ArrayList<>();
        for (int page : changedPages) {
            while (pageNumbers.size() <= page) {
                pageNumbers.add(number);
            }
            pageNumbers.set(page, number);
            writes.add(new Write(ConfigurationView.PAGE_ROOT + page, renderPage(number, pages.get(page)), 0));
        }
        writes.add(
                new Write(ConfigurationView.LOG_ROOT + number % ConfigurationView.MAX_LOG_ENTRIES, logEntry.json(), 0));
        writes.add(
                new Write(ConfigurationView.HEAD, ConfigurationView.encodeHead(number, request.key(), pageNumbers), 0));
        List<Guard> guards = new ArrayList<>();
        writes.forEach(write -> guards.add(new Guard(write.key(), watchCache.version(write.key()))));
        checkLimits(guards, writes);
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

    private int pageWithRoom(List<Map<String, ConfiguredTeam>> pages, String name, ConfiguredTeam team) {
        int rowBytes = Json.bytes(team.json()).length + name.length() + 4;
        for (int i = 0; i < pages.size(); i++) {
            if (Json.bytes(ConfigurationRecord.encodeTeams(pages.get(i))).length + rowBytes + PAGE_OVERHEAD_BYTES
                    <= stateLimits.valueBytes()) {
                return i;
            }
        }
        pages.add(new LinkedHashMap<>());
        return pages.size() - 1;
    }

    private static JsonNode renderPage(long number, Map<String, ConfiguredTeam> teams) {
        return Json.object().put("number", number).set("teams", ConfigurationRecord.encodeTeams(teams));
    }

    private void checkLimits(List<Guard> guards, List<Write> writes) throws InvalidMessageException {
        if (writes.size() > stateLimits.txnOps()) {
            throw new InvalidMessageException(
                    "the change writes " + (writes.size() - FIXED_WRITES) + " pages of teams, expected at most "
                            + (stateLimits.txnOps() - FIXED_WRITES) + ": change fewer teams at once");
        }
        for (Write write : writes) {
            if (Json.bytes(write.value()).length > stateLimits.valueBytes()) {
                throw new InvalidMessageException("document " + write.key() + ": expected at most "
                        + stateLimits.valueBytes() + " bytes: change fewer teams at once");
            }
        }
        int transactionBytes = StateClient.transactionBytes(guards, writes);
        if (transactionBytes > MessageLimits.MAX_MESSAGE_BYTES) {
            throw new InvalidMessageException("the change takes " + transactionBytes + " bytes, expected at most "
                    + MessageLimits.MAX_MESSAGE_BYTES + ": change fewer teams at once");
        }
    }

    /** Returns notes on effects that the operator may not have intended. They don't prevent the change. */
    private static List<String> collectNotes(Configuration current, Map<String, ConfiguredTeam> after) {
        double cpusBefore = 0;
        double cpusAfter = 0;
        for (Map.Entry<String, ConfiguredTeam> entry : current.teams().entrySet()) {
            ConfiguredTeam changed = after.getOrDefault(entry.getKey(), entry.getValue());
            cpusBefore += entry.getValue().limits().cpus();
            cpusAfter += changed == null ? 0 : changed.limits().cpus();
        }
        List<String> notes = new ArrayList<>();
        if (cpusAfter > cpusBefore) {
            notes.add("the change raises the sum of guarantees to " + Math.round(cpusAfter) + " processors, from "
                    + Math.round(cpusBefore));
        }
        after.forEach((name, team) -> {
            ConfiguredTeam previous = current.teams().get(name);
            if (team != null && previous != null && Objects.equals(team, previous)) {
                notes.add("team " + name + " is unchanged");
            }
        });
        return notes;
    }

    private void commit(
            Exchange exchange, ChangeRequest request, Transaction transaction, List<String> notes, int attempt) {
        client.commit(transaction.guards, transaction.writes, answer -> {
            if (answer.ok()) {
                LOG.info(
                        "configuration changed, number={} by={} why={}",
                        transaction.number,
                        request.author(),
                        request.reason());
                answerNumber(exchange, transaction.number, notes);
            } else if (answer.status() == Status.CONFLICT || answer.status() == Status.UNKNOWN) {
                // A concurrent change won, or the outcome is unknown: read the current state before answering or
                // retrying.
                tryChange(exchange, request, attempt + 1);
            } else {
                answerError(exchange, 503, "the state service rejected the change: retry later");
            }
        });
    }

    private static void answerNumber(Exchange exchange, long number, List<String> notes) {
        ObjectNode body = Json.object().put("number", number);
        notes.forEach(body.putArray("notes")::add);
        exchange.answer(200, Json.bytes(body));
    }

    private static void answerError(Exchange exchange, int status, String error) {
        exchange.answer(status, Json.bytes(Json.object().put("error", error)), status == 503 ? 1 : 0);
    }
}
