package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;

/** One stored value that the leader keeps up to date through the {@link BatchWriter}. */
public interface Document {
    /** Where it is stored. */
    String key();

    /** The value as it should be now; null deletes the key. */
    JsonNode render();

    /** Called when what {@link #render} last gave is stored, at this revision. */
    void stored(long revision);

    /** Called when what {@link #render} last gave is certainly not stored; it is rendered again. */
    default void refused() {}

    /** Lower goes first. */
    default int rank() {
        return 5;
    }

    /**
     * False while the document has to wait for another, as one whose rows move to a new document, which has to be stored first:
     * a reader in between finds them in both, never in neither.
     */
    default boolean ready() {
        return true;
    }

    /** False once the document need not be written any more, for instance since a user was quicker. */
    default boolean wanted() {
        return true;
    }
}
