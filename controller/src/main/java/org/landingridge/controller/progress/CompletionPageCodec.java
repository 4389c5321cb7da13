package org.landingridge.controller.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.Map;
import org.landingridge.wire.Json;

/**
 * Encodes and decodes a page of finished tasks: an object of chunks, {@code {"job-000412#0": BITS}}. Chunk number {@code n} of
 * a job covers {@link #CHUNK_TASKS} tasks from index {@code n * CHUNK_TASKS} on, one bit per task, as a little-endian bit set in
 * base64.
 */
final class CompletionPageCodec {
    /** Number of tasks per chunk, so that the bits of the largest job fit into values under the smallest size limit. */
    static final int CHUNK_TASKS = 4096;

    private static final char SEPARATOR = '#';

    private CompletionPageCodec() {}

    /** Returns the name of a job's chunk. */
    static String chunkName(String jobId, int chunk) {
        return jobId + SEPARATOR + chunk;
    }

    /** Returns the id of the job that a chunk belongs to; null if the name is not a chunk name. */
    static String jobId(String chunkName) {
        int separator = chunkName.lastIndexOf(SEPARATOR);
        return separator > 0 ? chunkName.substring(0, separator) : null;
    }

    /**
     * Returns the index of a chunk's first task.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    static int firstTask(String chunkName) {
        return Integer.parseInt(chunkName.substring(chunkName.lastIndexOf(SEPARATOR) + 1)) * CHUNK_TASKS;
    }

    /**
     * Returns the finished tasks of a chunk, as indexes relative to its first task.
     *
     * @throws IllegalArgumentException if the chunk is not valid base64
     */
    static BitSet decodeChunk(JsonNode chunk) {
        return BitSet.valueOf(Base64.getDecoder().decode(chunk.asText()));
    }

    /** Returns the value to store for a page with these chunks. */
    static JsonNode encodePage(Collection<String> chunkNames, Map<String, BitSet> finishedByChunk) {
        ObjectNode page = Json.object();
        for (String name : chunkNames) {
            page.put(
                    name,
                    Base64.getEncoder().encodeToString(finishedByChunk.get(name).toByteArray()));
        }
        return page;
    }

    /** Returns the maximum size of a chunk in its page, in bytes: its name, and one character for six tasks. */
    static int maxChunkBytes(String jobId, int taskCount) {
        return 24 + jobId.length() + Math.min(CHUNK_TASKS, taskCount) / 6;
    }
}
