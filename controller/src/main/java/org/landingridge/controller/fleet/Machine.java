package org.landingridge.controller.fleet;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Long2ObjectHashMap;
import org.landingridge.wire.Heartbeat;
import org.landingridge.wire.MachineType;

/** A machine that is or may be rented, as the leader knows it. Times are in milliseconds on the event loop's clock. */
public final class Machine {
    /**
     * BOOTING: has sent no heartbeat yet. UP: sends heartbeats. LAPSED: its lease has expired, so its worker has killed
     * its tasks. LEAVING: its return to the cloud has been requested. GONE: it has been returned.
     */
    public enum State {
        BOOTING,
        UP,
        LAPSED,
        LEAVING,
        GONE
    }

    private final String id;
    private final MachineType machineType;
    private final String zone;
    private final boolean spot;
    private final long addedAt;
    private final Contact contact = new Contact();
    private final Incarnation incarnation = new Incarnation();
    private final WorkerLease lease;
    private final DirectCalls calls = new DirectCalls();
    private final FailureRecord failures = new FailureRecord();
    /** By attempt number. Iterators are not cached, because an iteration over the map may start another one. */
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>(8, 0.6f, false);
    /** Image names, least recently used first. */
    private final Set<String> images = new LinkedHashSet<>();

    private String address;
    private State state = State.BOOTING;
    /** The stored registry has its row with an address; no start command is sent before that. */
    private boolean registered;
    /** Its worker has shown this leader's fencing token, so it rejects commands of earlier leaders. */
    private boolean fenced;
    /** In the stored registry when this leader was elected, and neither fenced nor expired nor gone since. */
    private boolean unverified;
    /** Rented by this leader and no heartbeat received yet; its boot time is being measured. */
    private boolean measuringBoot;
    /** The cloud lists it as failed: it stopped on its own. */
    private boolean listedFailed;
    /** Announced time until the cloud reclaims the machine, in seconds; null without a notice. */
    private Double noticeS;

    private long idleSince;
    private long drainUntil = Long.MIN_VALUE / 2;

    Machine(String id, String address, MachineType kind, String zone, boolean spot, long now) {
        this.id = id;
        this.address = address;
        this.machineType = kind;
        this.zone = zone;
        this.spot = spot;
        this.addedAt = now;
        this.lease = new WorkerLease(now);
        this.idleSince = now;
    }

    /** Returns the machine's identifier. */
    public String id() {
        return id;
    }

    /** Returns the state as far as this leader knows it. */
    public State state() {
        return state;
    }

    /** Returns true for a spot instance. */
    public boolean spot() {
        return spot;
    }

    /** Returns the name of the zone. */
    public String zone() {
        return zone;
    }

    /** Returns the machine type. */
    public MachineType machineType() {
        return machineType;
    }

    /** Returns the attempts that are or may be on the machine, by attempt number. */
    public Map<Long, Attempt> attempts() {
        return attempts;
    }

    /** Returns the names of the images on the machine, least recently used first. */
    public Set<String> images() {
        return images;
    }

    /** Returns the attempt with that number, or null. */
    Attempt attempt(long number) {
        return attempts.get(number);
    }

    void add(Attempt attempt) {
        attempts.put(attempt.number(), attempt);
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt.number());
    }

    String typeName() {
        return machineType.name();
    }

    /** Returns the address for direct calls, or null if it is unknown. */
    String address() {
        return address;
    }

    void address(String newAddress) {
        address = newAddress;
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

    /** Changes the state; all state changes go through this method. */
    void transitionTo(State next) {
        if ((state == State.GONE || state == State.LEAVING) && next != State.GONE) {
            throw new IllegalStateException(
                    "machine " + id + ": transition " + state + " -> " + next + " is not allowed");
        }
        state = next;
    }

    boolean isUp() {
        return state == State.UP;
    }

    /** Returns true once the machine has been returned to the cloud, or taken back: nothing is on it any more. */
    boolean isGone() {
        return state == State.GONE;
    }

    /** Returns true if heartbeats are expected: the machine is up, or it sent heartbeats to an earlier leader. */
    boolean heartbeatsExpected() {
        return isUp() || (unverified && state == State.BOOTING);
    }

    boolean registered() {
        return registered;
    }

    void markRegistered() {
        registered = true;
    }

    /** Records that the machine holds nothing; its row must be written again before it is given tasks. */
    void markUnregistered() {
        registered = false;
    }

    boolean fenced() {
        return fenced;
    }

    void fence() {
        fenced = true;
    }

    /** Records that the worker was restarted and has not seen this leader's token. */
    void unfence() {
        fenced = false;
    }

    boolean unverified() {
        return unverified;
    }

    void unverified(boolean mayHoldTasks) {
        unverified = mayHoldTasks;
    }

    boolean measuringBoot() {
        return measuringBoot;
    }

    /** Starts the measurement of the boot time, which ends with the first heartbeat. */
    void startBootMeasurement() {
        measuringBoot = true;
    }

    void endBootMeasurement() {
        measuringBoot = false;
    }

    boolean listedFailed() {
        return listedFailed;
    }

    void markListedFailed() {
        listedFailed = true;
    }

    Double noticeS() {
        return noticeS;
    }

    long addedAt() {
        return addedAt;
    }

    long idleSince() {
        return idleSince;
    }

    /** Restarts the idle time: a task occupies resources on the machine, or the machine has just come up. */
    void resetIdleTime(long now) {
        idleSince = now;
    }

    void drainUntil(long until) {
        drainUntil = until;
    }

    boolean draining(long now) {
        return now < drainUntil;
    }

    /** Returns true if the machine may be given tasks, so its row in the registry must contain its address. */
    boolean mayHoldTasks() {
        return address != null && state != State.BOOTING && state != State.LAPSED;
    }

    /** Returns the number of attempts that occupy resources on the machine. */
    int liveAttempts() {
        int count = 0;
        for (Attempt attempt : attempts.values()) {
            count += attempt.isLive() ? 1 : 0;
        }
        return count;
    }

    boolean hasLiveAttempts() {
        for (Attempt attempt : attempts.values()) {
            if (attempt.isLive()) {
                return true;
            }
        }
        return false;
    }

    /** Records a heartbeat or an answer to a direct call. */
    void recordMessage(long now) {
        contact.recordMessage(now);
        calls.recordContact();
        listedFailed = false;
    }

    /** Takes over the address and the reclaim notice from a heartbeat. */
    void updateFrom(Heartbeat heartbeat) {
        address = heartbeat.addr();
        noticeS = heartbeat.noticeS();
    }

    /** Makes an image the most recently used one; null is ignored. */
    void markImageUsed(String image) {
        if (image != null) {
            images.remove(image);
            images.add(image);
        }
    }
}
