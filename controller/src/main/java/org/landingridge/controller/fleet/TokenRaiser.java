package org.landingridge.controller.fleet;

/**
 * Has the fencing token raised where only a higher one keeps starts that are still on their way from being carried out, or
 * distinguishes a restarted worker from its earlier incarnation. Fed once per tick with every machine.
 */
final class TokenRaiser {
    /** A higher token costs a change and a heartbeat of every machine. */
    private static final long PAUSE_MS = 10_000;

    private static final long PAUSE_RESTARTED_MS = 1_000;
    /** So long, or until there are so many, ended attempts stay on a machine that a copy of their start could run again. */
    private static final long PAUSE_KEPT_MS = 60_000;

    private static final int MOST_KEPT = 100;
    /** A withdrawn start is waited for at least so long. */
    private static final long LATE_START_MS = 3_000;

    private final FleetContext context;
    private long raisedAt;
    /** A start that is not wanted any more may still arrive somewhere. */
    private boolean startsWithdrawn;
    /** A restarted worker cannot be told from its earlier incarnation under the present token. */
    private boolean restartsHidden;
    /** Most attempts on one machine that have ended and stay for the sake of the token. */
    private int kept;

    TokenRaiser(FleetContext context) {
        this.context = context;
    }

    /** The present token is as good as raised now. */
    void start(long now) {
        raisedAt = now;
    }

    /** A tick begins. */
    void reset() {
        startsWithdrawn = false;
        restartsHidden = false;
        kept = 0;
    }

    /** Looks for starts on the machine that only a higher token ends. */
    void observe(Machine machine, long now) {
        startsWithdrawn |= machine.up() && startWithdrawn(machine, now);
        kept = Math.max(kept, kept(machine));
    }

    /** The machine's worker was restarted and waits for a token that shows it. */
    void observeRestarted(Machine machine) {
        restartsHidden |= !machine.incarnation().showable(context.leadership().token());
    }

    /** The tick has seen every machine. */
    void raiseIfDue(long now) {
        long since = now - raisedAt;
        boolean due = ((startsWithdrawn || kept > MOST_KEPT) && since > PAUSE_MS)
                || (kept > 0 && since > PAUSE_KEPT_MS)
                || (restartsHidden && since > PAUSE_RESTARTED_MS);
        if (due) {
            raisedAt = now;
            context.leadership().raiseToken();
        }
    }

    /**
     * True if something that should be off the machine may still arrive there: a start that was sent straight, got no
     * answer, and is not wanted any more. It may come minutes late, for instance long after its job's cancellation;
     * only a higher token stops it.
     */
    private boolean startWithdrawn(Machine machine, long now) {
        for (Attempt attempt : machine.attempts().values()) {
            boolean unwanted = attempt.stopWanted() || attempt.state() == Attempt.State.EXITED;
            if (unwanted
                    && attempt.startMayArrive()
                    && attempt.unansweredUnder() == context.leadership().token()
                    && now - attempt.since() > LATE_START_MS) {
                return true;
            }
        }
        return false;
    }

    /** Attempts that have ended and stay on the machine until it has seen a higher token than ours is now. */
    private int kept(Machine machine) {
        int sum = 0;
        for (Attempt attempt : machine.attempts().values()) {
            sum += attempt.keptUnder(context.leadership().token()) ? 1 : 0;
        }
        return sum;
    }
}
