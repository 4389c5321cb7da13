package org.landingridge.emulator;

import java.util.ArrayList;
import java.util.List;

/** Whether an emulated machine hangs; what comes meanwhile is done when it goes on. */
final class Hanging {
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean hangs;

    boolean hangs() {
        return hangs;
    }

    void hang() {
        hangs = true;
    }

    /** The machine goes on; {@link #catchUp} does what came meanwhile. */
    void resume() {
        hangs = false;
    }

    /** Does it now, or when the machine goes on. */
    void whenAwake(Runnable action) {
        if (hangs) {
            deferred.add(action);
        } else {
            action.run();
        }
    }

    void catchUp() {
        List<Runnable> late = new ArrayList<>(deferred);
        deferred.clear();
        late.forEach(Runnable::run);
    }
}
