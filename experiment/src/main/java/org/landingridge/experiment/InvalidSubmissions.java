package org.landingridge.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.landingridge.wire.Json;

/** Submissions that no controller may take: each is a lawful job with one thing changed, and the status that it has to get. */
final class InvalidSubmissions {
    /** @param status 400 for what is malformed, 422 for what can never run */
    record InvalidSubmission(String id, ObjectNode body, int status, String what) {}

    /** Null or absent means something in these, or they are of another kind than the values below. */
    private static final List<String> MUST = List.of(
            "lane",
            "crew",
            "shape",
            "urgency",
            "takes",
            "cpus",
            "cards",
            "memoryGb",
            "reel",
            "sizeGb",
            "oneZone",
            "scatter",
            "standby",
            "runtimeS",
            "savepointS",
            "flushS");

    private static final List<String> AMOUNTS =
            List.of("takes", "cpus", "cards", "memoryGb", "sizeGb", "runtimeS", "savepointS", "flushS", "airtimeS");
    /** A field, a value of the wrong kind or beyond its range, and the status. */
    private static final String[][] VALUES = {
        {"lane", "7", "400"},
        {"crew", "{}", "400"},
        {"crew", "\"\"", "400"},
        {"shape", "\"gang\"", "400"},
        {"shape", "1", "400"},
        {"urgency", "\"now\"", "400"},
        {"takes", "0", "400"},
        {"takes", "1.5", "400"},
        {"takes", "100001", "400"},
        {"takes", "18446744073709551616", "400"},
        {"takes", "\"3\"", "400"},
        {"cpus", "\"1\"", "400"},
        {"cpus", "1e400", "400"},
        {"cpus", "[1]", "400"},
        {"reel", "5", "400"},
        {"rigs", "\"t4\"", "400"},
        {"rigs", "[4]", "400"},
        {"yard", "1", "400"},
        {"oneZone", "\"yes\"", "400"},
        {"scatter", "0", "400"},
        {"standby", "1", "400"},
        {"airtimeS", "\"soon\"", "400"},
        {"crew", "\"nobody\"", "422"},
        {"rigs", "[\"t9\"]", "422"},
        {"rigs", "[]", "422"},
        {"yard", "\"z\"", "422"},
        {"cpus", "4.5", "422"},
        {"memoryGb", "9.0", "422"},
        {"cards", "1.0", "422"}
    };

    private InvalidSubmissions() {}

    /** A job that any controller takes, of team blue, on machines of type t4. */
    static ObjectNode validJob(String id) {
        return (ObjectNode) parse(
                "{\"id\":\"" + id + "\",\"lane\":\"odd\",\"crew\":\"blue\",\"shape\":\"sweep\",\"urgency\":\"normal\","
                        + "\"takes\":2,\"cpus\":1.0,\"cards\":0.0,\"memoryGb\":1.0,\"reel\":\"img-0\",\"sizeGb\":0.3,\"rigs\":[\"t4\"],"
                        + "\"yard\":\"a\",\"oneZone\":false,\"scatter\":false,\"standby\":true,\"runtimeS\":5.0,\"savepointS\":0.0,"
                        + "\"flushS\":0.0,\"airtimeS\":60.0}");
    }

    private static JsonNode parse(String json) {
        return Json.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    /** Every one of them, under this id. */
    static List<InvalidSubmission> all(String id) {
        List<InvalidSubmission> all = new ArrayList<>();
        for (String field : MUST) {
            ObjectNode without = validJob(id);
            without.remove(field);
            all.add(new InvalidSubmission(id, without, 400, field + " is missing"));
            all.add(with(id, field, "null", 400));
        }
        for (String field : AMOUNTS) {
            all.add(with(id, field, "-1", 400));
        }
        for (String[] v : VALUES) {
            all.add(with(id, v[0], v[1], Integer.parseInt(v[2])));
        }
        return all;
    }

    static InvalidSubmission any(String id, Random random) {
        List<InvalidSubmission> all = all(id);
        return all.get(random.nextInt(all.size()));
    }

    private static InvalidSubmission with(String id, String field, String json, int status) {
        ObjectNode body = validJob(id);
        body.set(field, parse(json));
        return new InvalidSubmission(id, body, status, field + " is " + json);
    }
}
