package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A machine type that the cloud offers, with its current prices. */
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

    public static List<MachineType> parseAll(JsonNode body) throws InvalidMessageException {
        JsonNode rigs = body == null ? null : body.get("rigs");
        if (rigs == null || !rigs.isArray()) {
            throw new InvalidMessageException("the list of machine types lacks rigs");
        }
        List<MachineType> all = new ArrayList<>();
        for (JsonNode r : rigs) {
            String name = Json.text(r, "name");
            if (name == null) {
                throw new InvalidMessageException("a machine type lacks its name");
            }
            List<String> zones = new ArrayList<>();
            if (r.get("yards") != null) {
                r.get("yards").forEach(z -> zones.add(z.asText()));
            }
            all.add(new MachineType(
                    name,
                    Json.number(r, "cpus", 0),
                    Json.number(r, "cards", 0),
                    Json.number(r, "memoryGb", 0),
                    Json.number(r, "localGb", 0),
                    Json.number(r, "fetchGbPerS", 1),
                    Json.number(r, "hourly", 0),
                    Json.number(r, "spotPrice", 0),
                    Json.number(r, "startupS", 60),
                    List.copyOf(zones)));
        }
        return all;
    }

    public boolean fits(JobSpec job) {
        return (job.types() == null || job.types().contains(name))
                && (job.zone() == null || zones.contains(job.zone()))
                && job.cpus() <= cpus
                && job.gpus() <= gpus
                && job.memoryGb() <= memoryGb;
    }
}
