package org.landingridge.controller.fleet;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Long2ObjectHashMap;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.MachineType;

/** One machine that is or may be rented, as the leader sees it. Times are the event loop's, in milliseconds. */
public final class Machine {
    /**
     * BOOTING: never heard. UP: sends heartbeats. LAPSED: silent so long that its worker has certainly killed its tasks.
     * LEAVING: the cloud is asked to take it back. GONE: the cloud has taken it back.
     */
    public enum State {
        BOOTING,
        UP,
        LAPSED,
        LEAVING,
        GONE
    }

    private final String id;
    private final MachineType kind;
    private final String zone;
    private final boolean spot;
    private final long appearedAt;
    private final Contact contact = new Contact();
    private final Incarnation incarnation = new Incarnation();
    private final WorkerLease lease;
    private final DirectCalls calls = new DirectCalls();
    private final FailureRecord failures = new FailureRecord();
    /** By number; no cached iterators, since a pass over them may start another. */
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>(8, 0.6f, false);
    /** The least recently used first. */
    private final Set<String> images = new LinkedHashSet<>();

    private String address;
    private State state = State.BOOTING;
    /** In the stored registry as one that may hold tasks; no start is sent before. */
    private boolean registered;
    /** Has shown this leader's token, so that no earlier leader's command can reach it any more. */
    private boolean fenced;
    /** In the registry when this leader was elected, and not yet accounted for. */
    private boolean unverified;
    /** Rented by this leader and not yet heard of. */
    private boolean awaitingBoot;
    /** The cloud says that it stopped on its own. */
    private boolean listedFailed;
    /** Seconds until the cloud takes it away, null if it has not said so. */
    private Double noticeS;

    private long idleSince;
    private long drainUntil = Long.MIN_VALUE / 2;

    Machine(String id, String address, MachineType kind, String zone, boolean spot, long now) {
        this.id = id;
        this.address = address;
        this.kind = kind;
        this.zone = zone;
        this.spot = spot;
        this.appearedAt = now;
        this.lease = new WorkerLease(now);
        this.idleSince = now;
    }

    /** Its identifier. */
    public String id() {
        return id;
    }

    /** What it does, as far as this leader knows. */
    public State state() {
        return state;
    }

    /** True for a spot instance. */
    public boolean spot() {
        return spot;
    }

    /** Name of its zone. */
    public String zone() {
        return zone;
    }

    /** Its machine type. */
    public MachineType kind() {
        return kind;
    }

    /** The attempts that are or may be on it, by number. */
    public Map<Long, Attempt> attempts() {
        return attempts;
    }

    /** Names of the images that it has, the least recently used first. */
    public Set<String> images() {
        return images;
    }

    /** The attempt of that number, or null. */
    Attempt attempt(long number) {
        return attempts.get(number);
    }

    void add(Attempt attempt) {
        attempts.put(attempt.number(), attempt);
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt.number());
    }

    String type() {
        return kind.name();
    }

    /** Where it takes direct calls, null if that is not known. */
    String address() {
        return address;
    }

    void address(String known) {
        address = known;
    }

    Contact contact() {
        return contact;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    WorkerLease lease() {
        return lease;
    }

    DirectCalls calls() {
        return calls;
    }

    FailureRecord failures() {
        return failures;
    }

    /** The only place where a machine changes its state. */
    void to(State next) {
        if ((state == State.GONE || state == State.LEAVING) && next != State.GONE) {
            throw new IllegalStateException(id + ": " + state + " -> " + next);
        }
        state = next;
    }

    boolean up() {
        return state == State.UP;
    }

    boolean registered() {
        return registered;
    }

    void register() {
        registered = true;
    }

    /** Nothing is on it any more: its row is to be written before it is given tasks again. */
    void deregister() {
        registered = false;
    }

    boolean fenced() {
        return fenced;
    }

    void fence() {
        fenced = true;
    }

    /** A worker that was restarted has not seen this leader's token. */
    void unfence() {
        fenced = false;
    }

    boolean unverified() {
        return unverified;
    }

    void unverified(boolean holdsPossibly) {
        unverified = holdsPossibly;
    }

    boolean awaitingBoot() {
        return awaitingBoot;
    }

    /** It is rented and measured until its first heartbeat. */
    void awaitBoot() {
        awaitingBoot = true;
    }

    void booted() {
        awaitingBoot = false;
    }

    boolean listedFailed() {
        return listedFailed;
    }

    void listFailed() {
        listedFailed = true;
    }

    Double noticeS() {
        return noticeS;
    }

    long appearedAt() {
        return appearedAt;
    }

    long idleSince() {
        return idleSince;
    }

    /** Something takes room on it, or it has just come up. */
    void busyAt(long now) {
        idleSince = now;
    }

    void drainUntil(long until) {
        drainUntil = until;
    }

    boolean draining(long now) {
        return now < drainUntil;
    }

    /** True if it may be given tasks, and so must stand in the registry with its address. */
    boolean mayHold() {
        return address != null && state != State.BOOTING && state != State.LAPSED;
    }

    /** Number of attempts that take room on it. */
    int live() {
        int live = 0;
        for (Attempt attempt : attempts.values()) {
            live += attempt.live() ? 1 : 0;
        }
        return live;
    }

    boolean hasLive() {
        for (Attempt attempt : attempts.values()) {
            if (attempt.live()) {
                return true;
            }
        }
        return false;
    }

    /** It has just said something, in a heartbeat or in answer to a call. */
    void heard(long now) {
        contact.heard(now);
        calls.heard();
        listedFailed = false;
    }

    /** Takes over what the worker says of the machine itself. */
    void describe(Heartbeat heartbeat) {
        address = heartbeat.addr();
        noticeS = heartbeat.noticeS();
    }

    /** Notes an image as the most recently used one. */
    void used(String image) {
        if (image != null) {
            images.remove(image);
            images.add(image);
        }
    }
}
