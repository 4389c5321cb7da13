package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One page of the cloud's machine list.
 *
 * @param machines the rows that can be read, in the order of their names
 * @param invalid  what is wrong with each row that cannot be read
 * @param more     another page follows
 */
public record CloudMachinePage(List<CloudMachine> machines, List<String> invalid, boolean more) {
    /** A page as the cloud writes it. */
    public CloudMachinePage(List<CloudMachine> machines, boolean more) {
        this(machines, List.of(), more);
    }

    /** The path with the query of a page; {@code after} is the last name of the page before, null for the first page. */
    public static String path(String after, int limit) {
        return "/hosts?" + (after == null ? "" : "from=" + after + "&") + "limit=" + limit;
    }

    /**
     * Reads a body.
     *
     * @throws InvalidMessageException where it has no list of machines
     */
    public static CloudMachinePage parse(byte[] body) throws InvalidMessageException {
        JsonNode node = Json.parse(body);
        JsonNode boxes = node == null ? null : node.get("boxes");
        if (boxes == null || !boxes.isArray()) {
            throw new InvalidMessageException("a page of the machine list lacks boxes");
        }
        List<CloudMachine> machines = new ArrayList<>();
        List<String> invalid = new ArrayList<>();
        for (JsonNode row : boxes) {
            try {
                machines.add(CloudMachine.parse(row));
            } catch (InvalidMessageException e) {
                invalid.add(e.getMessage());
            }
        }
        return new CloudMachinePage(machines, invalid, Json.flag(node, "more"));
    }

    /** The body of the answer. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object();
        ArrayNode boxes = node.putArray("boxes");
        machines.forEach(machine -> boxes.add(machine.toJson()));
        return node.put("more", more);
    }
}
