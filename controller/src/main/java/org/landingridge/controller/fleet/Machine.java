package org.landingridge.controller.fleet;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Long2ObjectHashMap;
import org.landingridge.net.Http;
import org.landingridge.wire.MachineType;

/** One machine that is or may be rented, as the leader sees it. */
public final class Machine {
    /**
     * BOOTING: never heard. UP: sends heartbeats. LAPSED: silent so long that its worker has certainly killed its tasks.
     * LEAVING: is being given back. GONE: given back.
     */
    public enum State {
        BOOTING,
        UP,
        LAPSED,
        LEAVING,
        GONE
    }

    /**
     * Whether its heartbeats are answered. HEARD: they are. MUTED: it is silent, and its row in the roster says or is to say
     * for how long; none of its heartbeats is answered, so that a later leader can count its lease from then. RETURNING: it
     * was heard again, and is answered once its row is stored without that.
     */
    enum Contact {
        HEARD,
        MUTED,
        RETURNING
    }

    /**
     * Whether the worker that speaks is the one that was known. KNOWN: it is. ANEW: it has begun anew under its old name, by
     * an answer older than what was known when it was asked for; what its earlier life held counts as held until it has
     * shown a token from after that, so that nothing sent to the earlier life can reach it any more.
     */
    enum Incarnation {
        KNOWN,
        ANEW
    }

    final String id;
    final String type;
    final String zone;
    final boolean spot;
    final MachineType kind;
    String addr;
    private State state = State.BOOTING;
    private Contact contact = Contact.HEARD;
    private Incarnation life = Incarnation.KNOWN;
    /** Reports that show no higher token than this were sent by an earlier life of the machine. */
    long lifeAbove;
    /** Reports in a row that were older than what is known. */
    int older;
    /** A row that tells of its silence is stored, or may be. */
    boolean told;
    /** A report that waits for the row to be stored; null while there is none. */
    Http.Exchange waiting;
    /** In the written roster as one that may hold tasks; no start is sent before. */
    boolean written;
    /** Has shown this leader's token, so that no earlier leader's command can reach it any more. */
    boolean fenced;
    /** On the roster when this leader was elected, and not yet accounted for. */
    boolean unverified;

    long session = -1;
    long seq = -1;
    long token;
    /** Loop time of the last 200 to one of its heartbeats, or of the election where that is later. */
    long answered;
    /** The latest moment at which an earlier leader can have answered it, for a machine of the census. */
    long answeredBefore;

    long heard = Long.MIN_VALUE / 2;
    /** When a report of it came last that said something new: answers to calls renew no lease. */
    long reported = Long.MIN_VALUE / 2;

    long appeared;
    /** Rented by this leader and not yet heard of. */
    boolean rented;

    Double noticeS;
    boolean calling;
    /** Calls in a row that it has not answered since it was last heard. */
    int unanswered;
    /** The cloud says that it stopped on its own. */
    boolean listedFailed;

    long callNotBefore;
    long askNotBefore;
    long idleSince;
    /** Errors of jobs that are not broken since the last success, the jobs, and how many of these succeed elsewhere. */
    int errors;

    final Set<String> failed = new LinkedHashSet<>();
    int proven;
    /** Sessions in a row that ended with a start nobody knows to have arrived. */
    int lostStarts;

    long avoidUntil = Long.MIN_VALUE / 2;
    long drainUntil = Long.MIN_VALUE / 2;
    /** By number; no cached iterators, since a pass over them may start another. */
    final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>(8, 0.6f, false);

    final Set<String> images = new LinkedHashSet<>();

    Machine(String id, String addr, MachineType kind, String zone, boolean spot, long now) {
        this.id = id;
        this.addr = addr;
        this.kind = kind;
        this.type = kind.name();
        this.zone = zone;
        this.spot = spot;
        this.appeared = now;
        this.answered = now;
        this.idleSince = now;
    }

    public String id() {
        return id;
    }

    public State state() {
        return state;
    }

    public boolean spot() {
        return spot;
    }

    public String zone() {
        return zone;
    }

    public MachineType kind() {
        return kind;
    }

    public Map<Long, Attempt> attempts() {
        return attempts;
    }

    public Set<String> images() {
        return images;
    }

    /** The only place where a machine changes its state. */
    void to(State next) {
        if (state == State.GONE && next != State.GONE || state == State.LEAVING && next != State.GONE) {
            throw new IllegalStateException(id + ": " + state + " -> " + next);
        }
        state = next;
    }

    Contact contact() {
        return contact;
    }

    /** The only place where its contact changes. */
    void to(Contact next) {
        if (contact == Contact.HEARD && next == Contact.RETURNING) {
            throw new IllegalStateException(id + ": " + contact + " -> " + next);
        }
        contact = next;
    }

    Incarnation life() {
        return life;
    }

    /** The only place where a machine begins a life. */
    void to(Incarnation next) {
        if (next == life) {
            throw new IllegalStateException(id + ": " + life + " -> " + next);
        }
        life = next;
    }

    /** True if it may be given tasks, and so must stand in the roster with its address. */
    boolean mayHold() {
        return addr != null && state != State.BOOTING && state != State.LAPSED;
    }

    /** Attempts that take room on it. */
    int live() {
        int n = 0;
        for (Attempt a : attempts.values()) {
            n += a.live() ? 1 : 0;
        }
        return n;
    }

    boolean hasLive() {
        for (Attempt a : attempts.values()) {
            if (a.live()) {
                return true;
            }
        }
        return false;
    }

    /** True once it has said something to this leader term's leader. */
    boolean everHeard() {
        return heard > Long.MIN_VALUE / 2;
    }

    /** It has just said something, in a report or in answer to a call. */
    void heard(long now) {
        heard = now;
        unanswered = 0;
        listedFailed = false;
    }

    /** Notes an image as the most recently used one. */
    void used(String image) {
        if (image != null) {
            images.remove(image);
            images.add(image);
        }
    }
}
