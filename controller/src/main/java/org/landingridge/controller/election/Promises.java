package org.landingridge.controller.election;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.landingridge.controller.jobs.CancellationLog;
import org.landingridge.controller.peer.PeerMessage;
import org.landingridge.controller.peer.PeerTransport;
import org.landingridge.controller.store.StateClient;
import org.landingridge.controller.store.StateClient.Status;
import org.landingridge.net.EventLoop;

/**
 * Words given over {@code back} not to take the lead for a while: with those of every other controller a leader goes on
 * through an outage of the state service. A promise counts for the leader from when it was asked for, for the one who
 * gives it from when it was given, drift on both sides.
 *
 * <p>With its promise each controller says which jobs it knows to be cancelled. Users were told so by one of them, and a
 * leader that has lost the state service learns it in no other way.
 */
final class Promises {
    /** How long a promise lasts. A fresh process leads no sooner: it may have forgotten one. */
    static final long LIFE_MS = 2_500;
    /** So long a probe of the state service may take, and its failure counts. */
    static final long PROBE_MS = 700;

    private static final int MOST_ASKED = 20;
    private final StateClient client;
    private final EventLoop loop;
    private final PeerTransport peers;
    private final String key;
    private final String host;
    private final List<String> others;
    private long boundUntil = Long.MIN_VALUE / 2;
    private boolean probing;
    private long unusableAt = Long.MIN_VALUE / 2;
    private long asks;
    private final Map<Long, Long> askedAt = new LinkedHashMap<>();
    /** When the newest ask was sent that each of the others has granted. */
    private final Map<String, Long> granted = new HashMap<>();
    /** What was heard of the others' cancellations, by host. */
    private final Map<String, Heard> heard = new HashMap<>();

    private final CancellationLog endings;
    private final BooleanSupplier readWhole;
    /** Of this process: the positions in its own record of cancellations mean nothing in the next one. */
    private final long life;

    /** How far one controller's record of cancellations is known here, and everything that it told users before when. */
    private static final class Heard {
        private long life;
        private long position;
        private long before = Long.MIN_VALUE / 2;
    }

    /**
     * @param endings   the cancellations that this process knows
     * @param readWhole whether it has read the state whole: before, it cannot vouch for what its former life told users
     */
    Promises(
            StateClient client,
            EventLoop loop,
            PeerTransport peers,
            String key,
            String host,
            List<String> others,
            long life,
            CancellationLog endings,
            BooleanSupplier readWhole) {
        this.life = life;
        this.endings = endings;
        this.readWhole = readWhole;
        this.client = client;
        this.loop = loop;
        this.peers = peers;
        this.key = key;
        this.host = host;
        this.others = others;
    }

    /** True while this controller has promised not to lead. */
    boolean bound() {
        return loop.now() < boundUntil;
    }

    /** @param since this controller knows everything that was stored up to this revision */
    void ask(long token, long since) {
        long number = ++asks;
        askedAt.put(number, loop.now());
        if (askedAt.size() > MOST_ASKED) {
            askedAt.remove(askedAt.keySet().iterator().next());
        }
        for (String other : others) {
            Heard h = heard.computeIfAbsent(other, o -> new Heard());
            peers.send(other, new PeerMessage.Ask(host, token, number, since, h.life, h.position));
        }
    }

    void asked(PeerMessage.Ask ask, BooleanSupplier mayLead) {
        if (mayLead.getAsBoolean()) {
            refuse(ask);
        } else if (loop.now() - unusableAt < PROBE_MS) {
            promise(ask);
        } else if (!probing) {
            // Whoever can use the state service should lead: then there is no promise.
            probing = true;
            client.probe(key, PROBE_MS, answer -> {
                probing = false;
                if (answer.status() == Status.REFUSED || answer.status() == Status.UNKNOWN) {
                    unusableAt = loop.now();
                    if (!mayLead.getAsBoolean()) {
                        promise(ask);
                    }
                } else {
                    refuse(ask);
                }
            });
        }
    }

    private void refuse(PeerMessage.Ask ask) {
        peers.send(ask.host(), new PeerMessage.Refuse(host, ask.token(), ask.number()));
    }

    /** From here on this controller keeps from claiming, by its own clock, for longer than the leader will count. */
    private void promise(PeerMessage.Ask ask) {
        boundUntil = loop.now() + (long) (LIFE_MS * (1 + Leadership.DRIFT));
        peers.send(ask.host(), new PeerMessage.Grant(host, ask.token(), ask.number(), word(ask)));
    }

    private PeerMessage.Word word(PeerMessage.Ask ask) {
        if (!readWhole.getAsBoolean()) {
            return null;
        }
        long from = ask.life() == life ? ask.position() : 0;
        CancellationLog.Page page = endings.after(from, ask.since());
        return page == null ? null : new PeerMessage.Word(life, from, page.to(), page.complete(), page.endings());
    }

    /** What one of the others vouches for. Its cancellations are final, whichever lead they were said to. */
    void heard(PeerMessage.Grant grant, Consumer<CancellationLog.Ending> cancelled) {
        PeerMessage.Word word = grant.word();
        Heard h = heard.get(grant.host());
        if (word == null || h == null) {
            return;
        }
        word.endings().forEach(cancelled);
        if (word.life() != h.life ? word.from() != 0 : word.from() > h.position) {
            // Something between is missing: it is asked for again from where we are.
            return;
        }
        h.position = word.life() == h.life ? Math.max(h.position, word.to()) : word.to();
        h.life = word.life();
        Long sent = askedAt.get(grant.number());
        if (word.complete() && sent != null) {
            h.before = Math.max(h.before, sent);
        }
    }

    /** Every cancellation that another controller told a user before this time, by the loop's clock, is known here. */
    long known() {
        long before = loop.now();
        for (String other : others) {
            Heard h = heard.get(other);
            before = h == null ? Long.MIN_VALUE / 2 : Math.min(before, h.before);
        }
        return before;
    }

    /** Until when nobody else will lead by the words given so far; long past while one of them is missing. */
    long granted(PeerMessage.Grant grant) {
        Long sent = askedAt.get(grant.number());
        if (sent == null || !others.contains(grant.host())) {
            return Long.MIN_VALUE;
        }
        granted.merge(grant.host(), sent, Math::max);
        if (granted.size() < others.size()) {
            return Long.MIN_VALUE;
        }
        long from = granted.values().stream().mapToLong(Long::longValue).min().orElseThrow();
        return from + (long) (LIFE_MS * (1 - Leadership.DRIFT)) - Leadership.MARGIN_MS;
    }

    /** True if the ask of this number was sent so lately that an answer to it tells of the present. */
    boolean askedLately(long number) {
        Long sent = askedAt.get(number);
        return sent != null && loop.now() - sent < LIFE_MS;
    }

    /** The lead is over: what was granted for it counts for nothing any more. */
    void clear() {
        granted.clear();
        askedAt.clear();
    }
}
