package org.landingridge.controller.fleet;

/**
 * Raises the fencing token when only a higher one stops start commands that are still in flight, or distinguishes a restarted
 * worker from its earlier incarnation. Each tick shows it every machine.
 */
final class TokenRaiser {
    /** Time between two raises: each costs a write and a heartbeat of every machine. */
    private static final long MIN_INTERVAL_MS = 10_000;
    /** Time between two raises for restarted workers. */
    private static final long MIN_INTERVAL_RESTARTED_MS = 1_000;
    /** Time after which the token is raised for ended attempts that are kept because a copy of their start could run again. */
    private static final long MAX_KEPT_MS = 60_000;
    /** Number of kept attempts on one machine above which the token is raised sooner. */
    private static final int MAX_KEPT_ATTEMPTS = 100;
    /** Number of attempts on one machine above which none is kept for long: the room in its heartbeats becomes scarce. */
    private static final int CROWDED_MACHINE_ATTEMPTS = 200;
    /** Minimum time that a withdrawn start is given to arrive. */
    private static final long WITHDRAWN_START_WAIT_MS = 3_000;

    private final FleetContext context;
    private long raisedAt;
    /** A withdrawn start may still arrive at some machine. */
    private boolean withdrawnStartsInFlight;
    /** Some restarted worker cannot be distinguished from its earlier incarnation under the present token. */
    private boolean restartsIndistinguishable;
    /** Largest number of ended attempts on one machine that are kept until the token is raised. */
    private int mostKeptAttempts;
    /** Some machine with many attempts keeps ended ones. */
    private boolean crowdedMachineKeepsAttempts;

    TokenRaiser(FleetContext context) {
        this.context = context;
    }

    /** Starts the pause before the next raise, as if the present token had just been raised. */
    void start(long now) {
        raisedAt = now;
    }

    /** Clears the observations at the beginning of a tick. */
    void reset() {
        withdrawnStartsInFlight = false;
        restartsIndistinguishable = false;
        mostKeptAttempts = 0;
        crowdedMachineKeepsAttempts = false;
    }

    /** Looks for starts and kept attempts on the machine that need a higher token. */
    void observe(Machine machine, long now) {
        withdrawnStartsInFlight |= machine.isUp() && withdrawnStartMayArrive(machine, now);
        int keptAttempts = keptAttempts(machine);
        mostKeptAttempts = Math.max(mostKeptAttempts, keptAttempts);
        crowdedMachineKeepsAttempts |= keptAttempts > 0 && machine.attempts().size() > CROWDED_MACHINE_ATTEMPTS;
    }

    /** Observes a machine with a restarted worker, which may need a higher token. */
    void observeRestarted(Machine machine) {
        restartsIndistinguishable |=
                !machine.incarnation().isDistinguishedBy(context.leadership().token());
    }

    /** Raises the token if the observations of the tick require it. */
    void raiseIfDue(long now) {
        long sinceRaiseMs = now - raisedAt;
        boolean raiseSoon =
                withdrawnStartsInFlight || mostKeptAttempts > MAX_KEPT_ATTEMPTS || crowdedMachineKeepsAttempts;
        boolean due = (raiseSoon && sinceRaiseMs > MIN_INTERVAL_MS)
                || (mostKeptAttempts > 0 && sinceRaiseMs > MAX_KEPT_MS)
                || (restartsIndistinguishable && sinceRaiseMs > MIN_INTERVAL_RESTARTED_MS);
        if (due) {
            raisedAt = now;
            context.leadership().raiseToken();
        }
    }

    /**
     * Returns true if a withdrawn start may still arrive at the machine: it was sent by a direct call that got no answer, and
     * its attempt is to be stopped or has ended. It may arrive minutes late, for instance long after the job's cancellation;
     * only a higher token stops it.
     */
    private boolean withdrawnStartMayArrive(Machine machine, long now) {
        for (Attempt attempt : machine.attempts().values()) {
            boolean unwanted = attempt.stopRequested() || attempt.state() == Attempt.State.EXITED;
            if (unwanted
                    && attempt.start().mayArrive()
                    && attempt.start().unansweredToken() == context.leadership().token()
                    && now - attempt.knownSince() > WITHDRAWN_START_WAIT_MS) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of ended attempts kept on the machine until it has seen a token above the present one. */
    private int keptAttempts(Machine machine) {
        int count = 0;
        for (Attempt attempt : machine.attempts().values()) {
            count += attempt.duplicateCouldRunUnder(context.leadership().token()) ? 1 : 0;
        }
        return count;
    }
}
