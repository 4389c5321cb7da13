package org.landingridge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What a user submits: one job, checked field by field.
 *
 * @param awaits ids of the jobs that have to be done before any task of this one starts, each once; never null
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        boolean service,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        double estimateS,
        double checkpointS,
        double saveS,
        Double deadlineS,
        List<String> awaits) {

    public static final int MAX_TASKS = 100_000;
    /** Jobs that one job may await. */
    public static final int MAX_AWAITED = 64;

    private static final int MAX_NAME = 200;
    private static final String ID_START = "job-";
    /** What a user's job has to carry; the others may be null, and so may be left out. */
    private static final List<String> REQUIRED = List.of(
            "id",
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

    /** A job that awaits no other. */
    public JobSpec(
            String id,
            String jobClass,
            String team,
            boolean service,
            Priority priority,
            int tasks,
            double cpus,
            double gpus,
            double memoryGb,
            String image,
            double imageGb,
            List<String> types,
            String zone,
            boolean oneZone,
            boolean spread,
            boolean spot,
            double estimateS,
            double checkpointS,
            double saveS,
            Double deadlineS) {
        this(
                id,
                jobClass,
                team,
                service,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                zone,
                oneZone,
                spread,
                spot,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                List.of());
    }

    /** The same job, with other jobs to await. */
    public JobSpec awaiting(Collection<String> ids) {
        return new JobSpec(
                id,
                jobClass,
                team,
                service,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                zone,
                oneZone,
                spread,
                spot,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                List.copyOf(ids));
    }

    /** The same job with another priority. */
    public JobSpec withPriority(Priority other) {
        return new JobSpec(
                id,
                jobClass,
                team,
                service,
                other,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                types,
                zone,
                oneZone,
                spread,
                spot,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                awaits);
    }

    /** The same job without its list of machine types, which is the one part of a description that has no bound. */
    public JobSpec withoutTypes() {
        return new JobSpec(
                id,
                jobClass,
                team,
                service,
                priority,
                tasks,
                cpus,
                gpus,
                memoryGb,
                image,
                imageGb,
                null,
                zone,
                oneZone,
                spread,
                spot,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                awaits);
    }

    /** True for names of the form that users choose for their jobs. */
    public static boolean validId(String id) {
        if (id == null || id.length() <= ID_START.length() || id.length() > 64 || !id.startsWith(ID_START)) {
            return false;
        }
        for (int i = ID_START.length(); i < id.length(); i++) {
            char c = id.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_')) {
                return false;
            }
        }
        return true;
    }

    /** A job as a user submits it: every field that may not be null has to be there. */
    public static JobSpec parse(JsonNode n) throws InvalidMessageException {
        JobSpec spec = read(n);
        for (String field : REQUIRED) {
            // Taken for 0 or false, a field that was left out would have the job run as nobody meant it.
            if (!n.hasNonNull(field)) {
                throw new InvalidMessageException("field " + field + " is missing");
            }
        }
        return spec;
    }

    /** A job as it is stored: an earlier version took jobs that lack some fields, and those have been accepted. */
    public static JobSpec read(JsonNode n) throws InvalidMessageException {
        if (n == null) {
            throw new InvalidMessageException("the body is not JSON");
        }
        if (!n.isObject()) {
            throw new InvalidMessageException("the body is not a JSON object");
        }
        String id = Json.text(n, "id");
        if (!validId(id)) {
            throw new InvalidMessageException("field id: expected a name such as job-000412");
        }
        String shape = name(n, "shape", true);
        if (!shape.equals("sweep") && !shape.equals("standing")) {
            throw new InvalidMessageException("field shape: expected sweep or standing");
        }
        Priority priority = Priority.of(name(n, "urgency", true));
        if (priority == null) {
            throw new InvalidMessageException("field urgency: expected prod, urgent, normal or best_effort");
        }
        JsonNode count = n.get("takes");
        if (count == null
                || !count.isIntegralNumber()
                || !count.canConvertToInt()
                || count.intValue() < 1
                || count.intValue() > MAX_TASKS) {
            throw new InvalidMessageException("field takes: expected a whole number from 1 to " + MAX_TASKS);
        }
        double cpus = amount(n, "cpus", true);
        double gpus = amount(n, "cards", false);
        if (cpus <= 0 && gpus <= 0) {
            throw new InvalidMessageException("field cpus: expected more than 0");
        }
        String image = name(n, "reel", false);
        List<String> types = null;
        JsonNode rigs = n.get("rigs");
        if (rigs != null && !rigs.isNull()) {
            if (!rigs.isArray()) {
                throw new InvalidMessageException("field rigs: expected a list of machine types or null");
            }
            types = new ArrayList<>();
            for (JsonNode rig : rigs) {
                if (!rig.isTextual()) {
                    throw new InvalidMessageException("field rigs: expected names of machine types");
                }
                types.add(rig.textValue());
            }
        }
        JsonNode airtime = n.get("airtimeS");
        Double deadline = airtime == null || airtime.isNull() ? null : Double.valueOf(amount(n, "airtimeS", true));
        return new JobSpec(
                id,
                name(n, "lane", true),
                name(n, "crew", true),
                shape.equals("standing"),
                priority,
                count.intValue(),
                cpus,
                gpus,
                amount(n, "memoryGb", true),
                image,
                amount(n, "sizeGb", false),
                types,
                name(n, "yard", false),
                bool(n, "oneZone"),
                bool(n, "scatter"),
                bool(n, "standby"),
                amount(n, "runtimeS", false),
                amount(n, "savepointS", false),
                amount(n, "flushS", false),
                deadline,
                awaits(n));
    }

    /** The form in which a job is written to the state service; {@link #read} reads it back. */
    public ObjectNode json() {
        ObjectNode n = Json.object();
        n.put("id", id)
                .put("lane", jobClass)
                .put("crew", team)
                .put("shape", service ? "standing" : "sweep")
                .put("urgency", priority.wire())
                .put("takes", tasks)
                .put("cpus", cpus)
                .put("cards", gpus)
                .put("memoryGb", memoryGb)
                .put("reel", image)
                .put("sizeGb", imageGb)
                .put("yard", zone)
                .put("oneZone", oneZone)
                .put("scatter", spread)
                .put("standby", spot)
                .put("runtimeS", estimateS)
                .put("savepointS", checkpointS)
                .put("flushS", saveS)
                .put("airtimeS", deadlineS);
        if (types != null) {
            types.forEach(n.putArray("rigs")::add);
        }
        if (!awaits.isEmpty()) {
            awaits.forEach(n.putArray("awaits")::add);
        }
        return n;
    }

    private static List<String> awaits(JsonNode n) throws InvalidMessageException {
        JsonNode value = n.get("awaits");
        if (value == null || value.isNull()) {
            return List.of();
        }
        if (!value.isArray()) {
            throw new InvalidMessageException("field awaits: expected a list of job ids or null");
        }
        Set<String> ids = new LinkedHashSet<>();
        for (JsonNode id : value) {
            if (!id.isTextual() || !validId(id.textValue())) {
                throw new InvalidMessageException("field awaits: expected names such as job-000412");
            }
            ids.add(id.textValue());
        }
        if (ids.size() > MAX_AWAITED) {
            throw new InvalidMessageException("field awaits: expected at most " + MAX_AWAITED + " jobs");
        }
        return List.copyOf(ids);
    }

    private static String name(JsonNode n, String field, boolean required) throws InvalidMessageException {
        JsonNode value = n.get(field);
        if (value == null || value.isNull()) {
            if (required) {
                throw new InvalidMessageException("field " + field + " is missing");
            }
            return null;
        }
        if (!value.isTextual()
                || value.textValue().isEmpty()
                || value.textValue().length() > MAX_NAME) {
            throw new InvalidMessageException(
                    "field " + field + ": expected a text of 1 to " + MAX_NAME + " characters");
        }
        return value.textValue();
    }

    private static double amount(JsonNode n, String field, boolean required) throws InvalidMessageException {
        JsonNode value = n.get(field);
        if (value == null || value.isNull()) {
            if (required) {
                throw new InvalidMessageException("field " + field + " is missing");
            }
            return 0;
        }
        double d = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(d >= 0 && d <= 1e9)) {
            throw new InvalidMessageException("field " + field + ": expected a number from 0 to 1e9");
        }
        return d;
    }

    private static boolean bool(JsonNode n, String field) throws InvalidMessageException {
        JsonNode value = n.get(field);
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw new InvalidMessageException("field " + field + ": expected true or false");
        }
        return value.booleanValue();
    }
}
