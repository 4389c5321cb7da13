package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http.Exchange;
import org.landingridge.wire.Json;
import org.landingridge.wire.state.StateAnswer;
import org.landingridge.wire.state.StateEntry;
import org.landingridge.wire.state.StateRequest;
import org.landingridge.wire.state.StateTransaction;

/** A stand-in for the state service, written from its protocol, with faults and limits to be switched on. */
public final class EmulatedStateService implements Server {
    private static final long EXPIRY_CHECK_MS = 20;
    private static final byte[] NOTHING = new byte[0];

    private final EventLoop loop;
    private final VersionedStore store;
    private final StateLeases leases;
    private final StateWatches watches;
    private final StateLimits limits;
    private final StateFaults faults = new StateFaults();
    private final StateUsage usage;
    private final StateTransactions transactions;

    /** A service that keeps nothing beyond this process. */
    public EmulatedStateService(EventLoop loop) {
        this(loop, null);
    }

    /** @param file where everything is kept beyond this process, or null */
    public EmulatedStateService(EventLoop loop, FileStore file) {
        this.loop = loop;
        this.store = new VersionedStore(file);
        this.leases = new StateLeases(loop, file);
        this.watches = new StateWatches(loop, store, this::givesNoAnswers);
        this.limits = new StateLimits(loop);
        this.usage = new StateUsage(loop);
        this.transactions = new StateTransactions(store, leases, limits, faults, usage);
        store.boundLeases().forEach(leases::restore);
        expire();
        usage.countSeconds();
    }

    private boolean givesNoAnswers(String client) {
        return faults.outage() || faults.refuses(client);
    }

    /** The value of a key, or null. */
    public JsonNode value(String key) {
        return store.value(key);
    }

    /** Keys with a prefix, in order. */
    public List<String> keys(String prefix) {
        return store.keys(prefix);
    }

    /** Puts a value as it would stand after a change of its own, which no watch brings: what was there before a history. */
    public void seed(String key, JsonNode value) {
        store.seed(key, value);
    }

    /** Requests so far. */
    public int requests() {
        return usage.requests();
    }

    /** Requests so far, by client. */
    public Map<String, Integer> requestsOf() {
        return Collections.unmodifiableMap(usage.requestsOf());
    }

    /** Puts and deletes in the last whole second. */
    public int lastWrites() {
        return usage.lastWrites();
    }

    /** The most requests in any second. */
    public int mostRequests() {
        return usage.mostRequests();
    }

    /** The most puts and deletes in any second. */
    public int mostWrites() {
        return usage.mostWrites();
    }

    /** Counts the most requests, and puts and deletes, in any second from here on. */
    public void resetPeaks() {
        usage.resetPeaks();
    }

    /** Requests that were refused for the rates. */
    public int tooMany() {
        return usage.tooMany();
    }

    /** Values and transactions that were refused for their size. */
    public int tooLarge() {
        return usage.tooLarge();
    }

    /** Sets the bytes of a value, and the puts and deletes of a transaction; four times as many guards are taken. */
    public void limitSizes(int valueBytes, int txnOps) {
        limits.sizes(valueBytes, txnOps);
    }

    /** Sets the requests, and the puts and deletes, a second: beyond them, and a second's worth of burst, the answer is 429. */
    public void limitRates(double rps, double writeRps) {
        limits.rates(rps, writeRps);
    }

    /** Lowers the puts and deletes a second to this, where they are above it. */
    public void lowerWriteRate(double writeRps) {
        limits.lowerWriteRate(writeRps);
    }

    /** So many changes, at least, are kept for watches. */
    public void keepChanges(int count) {
        store.keepChanges(count);
    }

    /** Ends all watches without an answer, as the death of those who watch would. */
    public void dropWatches() {
        watches.drop();
    }

    /** True while every request is refused. */
    public boolean outage() {
        return faults.outage();
    }

    /** Begins or ends an outage; after it every lease has its full time again. */
    public void outage(boolean on) {
        faults.outage(on);
        if (!on) {
            leases.renewAll();
            watches.wake();
        }
    }

    /** From now on so large a share of transactions gets no answer, and is carried out 2 to 12 s later; 0 ends it. */
    public void lateWrites(double share, RandomGenerator chance) {
        faults.loseAnswers(share, false, chance);
    }

    /** The same where they are carried out at once, and others read what they wrote. */
    public void lostAnswers(double share, RandomGenerator chance) {
        faults.loseAnswers(share, true, chance);
    }

    /** Answers 503 to one client alone, whose open watches wait, or serves it again. */
    public void refuse(String client, boolean on) {
        if (faults.refuse(client, on) && !on) {
            watches.wake();
        }
    }

    /** From now on watches of the client get no answer, while all else of it is served. */
    public void withholdWatches(String client) {
        faults.withholdWatches(client);
    }

    /** Watches of all clients are answered again. */
    public void answerWatches() {
        faults.answerWatches();
    }

    /** Guards on keys under the prefix are taken to hold: to see what breaks without them. */
    public void ignoreGuards(String prefix) {
        faults.ignoreGuards(prefix);
    }

    private void expire() {
        if (!faults.outage()) {
            leases.expired().forEach(this::end);
        }
        loop.after(EXPIRY_CHECK_MS, this::expire);
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> bound = store.boundTo(lease);
        if (!bound.isEmpty()) {
            store.nextRevision();
            bound.forEach(store::delete);
            watches.wake();
        }
    }

    /** The service as one client sees it. */
    public Server as(String client) {
        return exchange -> {
            usage.requestedBy(client);
            if (faults.refuses(client)) {
                exchange.answer(503, NOTHING);
            } else {
                serve(client, exchange);
            }
        };
    }

    @Override
    public void serve(Exchange exchange) {
        serve(null, exchange);
    }

    private void serve(String client, Exchange exchange) {
        usage.requested();
        Optional<StateRequest> request = read(exchange);
        if (!limits.allow(changes(request))) {
            usage.refusedByRate();
            exchange.answer(429, NOTHING);
        } else if (faults.outage()) {
            exchange.answer(503, NOTHING);
        } else if (request.isEmpty()) {
            exchange.answer(400, NOTHING);
        } else {
            serve(client, request.get(), exchange);
        }
    }

    private Optional<StateRequest> read(Exchange exchange) {
        if (!usage.permitsSize(exchange.body())) {
            return Optional.empty();
        }
        JsonNode body = exchange.body().length == 0 ? Json.object() : Json.parse(exchange.body());
        return StateRequest.read(exchange.method(), exchange.path(), exchange.query(), body);
    }

    private static int changes(Optional<StateRequest> request) {
        return request.isPresent() && request.get() instanceof StateRequest.Commit commit
                ? commit.transaction().writes().size()
                : 0;
    }

    private void serve(String client, StateRequest request, Exchange exchange) {
        if (request instanceof StateRequest.Watch watch) {
            if (!faults.withholdsWatches(client)) {
                watches.watch(client, watch, exchange);
            }
        } else if (request instanceof StateRequest.ListKeys list) {
            exchange.answer(200, Json.bytes(store.list(list).toJson()));
        } else if (request instanceof StateRequest.Get get) {
            get(get.key(), exchange);
        } else if (request instanceof StateRequest.Commit commit) {
            commitOrLose(commit.transaction(), exchange);
        } else if (request instanceof StateRequest.GrantLease grant) {
            exchange.answer(200, Json.bytes(StateAnswer.ofLease(leases.grant(grant.durationMs()))));
        } else if (request instanceof StateRequest.RenewLease renewal) {
            onOpenLease(renewal.lease(), exchange, () -> leases.renew(renewal.lease()));
        } else if (request instanceof StateRequest.ReleaseLease release) {
            onOpenLease(release.lease(), exchange, () -> end(release.lease()));
        } else {
            throw new IllegalArgumentException("a request that is not served: " + request);
        }
    }

    private void get(String key, Exchange exchange) {
        StateEntry entry = store.entry(key);
        if (entry == null) {
            exchange.answer(404, Json.bytes(StateAnswer.ofRevision(store.revision())));
        } else {
            exchange.answer(200, Json.bytes(entry.toJson()));
        }
    }

    private void onOpenLease(long lease, Exchange exchange, Runnable action) {
        if (!leases.open(lease)) {
            exchange.answer(404, NOTHING);
            return;
        }
        action.run();
        exchange.answer(200, NOTHING);
    }

    private void commitOrLose(StateTransaction transaction, Exchange exchange) {
        OptionalLong lostFor = faults.lostAnswer();
        if (lostFor.isPresent()) {
            loop.after(lostFor.getAsLong(), () -> wakeAfter(transactions.commit(transaction)));
            return;
        }
        StateTransactions.Reply reply = transactions.commit(transaction);
        exchange.answer(reply.status(), reply.body());
        wakeAfter(reply);
    }

    private void wakeAfter(StateTransactions.Reply reply) {
        if (reply.committed()) {
            watches.wake();
        }
    }
}
