package org.landingridge.controller.store;

import com.fasterxml.jackson.databind.JsonNode;

/** One stored value that the leader keeps up to date through the {@link BatchWriter}. */
public interface Document {
    /** Returns the key under which the document is stored. */
    String key();

    /** Returns the current value to store; null deletes the key. */
    JsonNode render();

    /** Called when the value last returned by {@link #render} has been stored, at this revision. */
    void stored(long revision);

    /**
     * Called when the value last returned by {@link #render} was certainly not stored. The document is rendered again, unless
     * the value is too large or invalid: then it has to be marked again.
     */
    default void refused() {}

    /** Returns the write priority; documents with lower values are written first. */
    default int rank() {
        return 5;
    }

    /**
     * Returns false while another document has to be stored first. For example, when rows move to a new document, that document
     * is stored first, so that a concurrent reader finds the rows in both documents rather than in none.
     */
    default boolean canBeWritten() {
        return true;
    }

    /** Returns false once the write is no longer needed, for example because a user's request has already changed the key. */
    default boolean isNeeded() {
        return true;
    }
}
