package org.landingridge.controller.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.Map;
import org.landingridge.wire.Json;

/**
 * Writes and reads a page of finished tasks: an object of chunks, {@code {"job-000412#0": BITS}}. A chunk holds the tasks of one
 * job from its number times {@link #CHUNK_TASKS}, one bit each, little endian, in base64.
 */
final class CompletionPageCodec {
    /** Tasks to one chunk, so that the largest job's bits fit values of the smallest size. */
    static final int CHUNK_TASKS = 4096;

    private static final char SEPARATOR = '#';

    private CompletionPageCodec() {}

    /** The name of a chunk of a job. */
    static String chunkName(String jobId, int chunk) {
        return jobId + SEPARATOR + chunk;
    }

    /** The id of the job that a chunk belongs to; null where the name is none of a chunk. */
    static String jobId(String chunkName) {
        int separator = chunkName.lastIndexOf(SEPARATOR);
        return separator > 0 ? chunkName.substring(0, separator) : null;
    }

    /**
     * The index of a chunk's first task.
     *
     * @throws IllegalArgumentException if the name cannot be read
     */
    static int firstTask(String chunkName) {
        return Integer.parseInt(chunkName.substring(chunkName.lastIndexOf(SEPARATOR) + 1)) * CHUNK_TASKS;
    }

    /**
     * The finished tasks of a chunk, counted from its first.
     *
     * @throws IllegalArgumentException if they cannot be read
     */
    static BitSet bits(JsonNode chunk) {
        return BitSet.valueOf(Base64.getDecoder().decode(chunk.asText()));
    }

    /** The stored value of a page. */
    static JsonNode page(Collection<String> chunkNames, Map<String, BitSet> chunks) {
        ObjectNode page = Json.object();
        for (String name : chunkNames) {
            page.put(name, Base64.getEncoder().encodeToString(chunks.get(name).toByteArray()));
        }
        return page;
    }

    /** Bytes that a chunk may take in its page: its name, and six bits of it to a character. */
    static int maxBytes(String jobId, int tasks) {
        return 24 + jobId.length() + Math.min(CHUNK_TASKS, tasks) / 6;
    }
}
