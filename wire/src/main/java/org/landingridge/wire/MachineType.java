package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type that the cloud offers, with its current prices.
 *
 * @param cpus        processors
 * @param memoryGb    memory, in GB
 * @param cacheGb     local storage for images, in GB
 * @param fetchGbPerS rate at which images are fetched, in GB a second
 * @param price       of an on-demand machine, an hour
 * @param spotPrice   of a spot instance, an hour
 * @param bootS       usual time from the rent to the first heartbeat, in seconds
 * @param zones       where it is offered
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {
    /** The path at which the cloud lists its machine types. */
    public static final String PATH = "/machine_types";

    private static final double DEFAULT_BOOT_S = 60;

    /**
     * Reads the body of the list of machine types.
     *
     * @throws InvalidMessageException where there is no list, or a type has no name
     */
    public static List<MachineType> parseAll(byte[] body) throws InvalidMessageException {
        JsonNode node = Json.parse(body);
        JsonNode rigs = node == null ? null : node.get("rigs");
        if (rigs == null || !rigs.isArray()) {
            throw new InvalidMessageException("the list of machine types lacks rigs");
        }
        List<MachineType> all = new ArrayList<>();
        for (JsonNode rig : rigs) {
            all.add(parse(rig));
        }
        return all;
    }

    private static MachineType parse(JsonNode node) throws InvalidMessageException {
        String name = Json.text(node, "name");
        if (name == null) {
            throw new InvalidMessageException("a machine type lacks its name");
        }
        List<String> zones = new ArrayList<>();
        node.path("yards").forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                name,
                Json.number(node, "cpus", 0),
                Json.number(node, "cards", 0),
                Json.number(node, "memoryGb", 0),
                Json.number(node, "localGb", 0),
                Json.number(node, "fetchGbPerS", 1),
                Json.number(node, "hourly", 0),
                Json.number(node, "spotPrice", 0),
                Json.number(node, "startupS", DEFAULT_BOOT_S),
                List.copyOf(zones));
    }

    /** The body of a list of machine types. */
    public static ObjectNode toJson(List<MachineType> types) {
        ObjectNode node = Json.object();
        ArrayNode rigs = node.putArray("rigs");
        types.forEach(type -> rigs.add(type.toJson()));
        return node;
    }

    private ObjectNode toJson() {
        ObjectNode node = Json.object().put("name", name).put("cpus", cpus);
        putCount(node, "cards", gpus);
        node.put("memoryGb", memoryGb);
        putCount(node, "localGb", cacheGb);
        putCount(node, "fetchGbPerS", fetchGbPerS);
        putCount(node, "hourly", price);
        node.put("spotPrice", spotPrice).put("startupS", bootS);
        zones.forEach(node.putArray("yards")::add);
        return node;
    }

    /** Whole numbers in these fields are written without a fraction. */
    private static void putCount(ObjectNode node, String field, double value) {
        if (value == Math.rint(value)) {
            node.put(field, (long) value);
        } else {
            node.put(field, value);
        }
    }

    /** True where one task of the job fits an empty machine of this type, and the job may run on it. */
    public boolean fits(JobSpec job) {
        return (job.types() == null || job.types().contains(name))
                && (job.zone() == null || zones.contains(job.zone()))
                && job.cpus() <= cpus
                && job.gpus() <= gpus
                && job.memoryGb() <= memoryGb;
    }
}
