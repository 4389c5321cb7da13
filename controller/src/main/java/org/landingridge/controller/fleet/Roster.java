package org.landingridge.controller.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.landingridge.controller.store.Document;
import org.landingridge.controller.store.GroupWriter;
import org.landingridge.wire.Json;

/**
 * The written roster: every machine, many to one stored value. A row with an address is of a machine that may hold
 * tasks; one without has not reported yet, or its lease has run out, and a later leader need not wait for it.
 *
 * <p>Beside them stands which images the machines have, as far as was known when the page was last written: a later
 * leader starts services where their image is. That is a hint, and no page is written for it alone.
 */
public final class Roster {
    public static final String PREFIX = "fleet/";
    /** The row of a page that names images; in the others each stands as one digit. */
    private static final String IMAGES = "images";
    private static final int MAX_IMAGES = 36;
    private static final int MAX_IMAGE_NAME = 24;
    private final String root;
    private final GroupWriter writer;
    private final Fleet fleet;
    private final int perPage;
    private final List<Page> pages = new ArrayList<>();
    private final Map<String, Page> pageOf = new HashMap<>();

    public Roster(String root, GroupWriter writer, Fleet fleet, double valueKb) {
        this.root = root;
        this.writer = writer;
        this.fleet = fleet;
        // Names of images are short enough to leave room for the machines; a page's rows are counted at their longest.
        this.perPage = (int) Math.max(4, (valueKb * 1024 * 0.9 - MAX_IMAGES * (MAX_IMAGE_NAME + 3)) / 110);
    }

    /** Takes over a page as it stands in the state service. */
    public void takeOver(String key, JsonNode value) {
        Page page = new Page(key);
        pages.add(page);
        JsonNode images = value.path(IMAGES);
        value.properties().forEach(e -> {
            if (e.getKey().equals(IMAGES)) {
                return;
            }
            JsonNode row = e.getValue();
            page.ids.put(e.getKey(), Boolean.TRUE);
            pageOf.put(e.getKey(), page);
            fleet.fromRoster(e.getKey(), row.path(0).isTextual() ? row.path(0).textValue() : null,
                    row.path(1).asText(), row.path(2).asText(), row.path(3).asInt() == 1);
            Machine m = fleet.machine(e.getKey());
            for (char digit : row.path(4).asText().toCharArray()) {
                m.used(Json.text(images, Character.digit(digit, MAX_IMAGES)));
            }
        });
    }

    public void add(Machine m) {
        Page page = pageOf.get(m.id);
        if (page == null) {
            page = pages.stream().filter(p -> p.ids.size() < perPage).findFirst().orElse(null);
            if (page == null) {
                int n = 0;
                while (taken(root + PREFIX + n)) {
                    n++;
                }
                page = new Page(root + PREFIX + n);
                pages.add(page);
            }
            page.ids.put(m.id, Boolean.TRUE);
            pageOf.put(m.id, page);
        }
        writer.mark(page);
    }

    public void remove(String id) {
        Page page = pageOf.remove(id);
        if (page != null) {
            page.ids.remove(id);
            writer.mark(page);
        }
    }

    private boolean taken(String key) {
        return pages.stream().anyMatch(p -> p.key.equals(key));
    }

    private final class Page implements Document {
        private final String key;
        private final Map<String, Boolean> ids = new LinkedHashMap<>();
        /** Machines that stand with their address in the form rendered last. */
        private List<String> holding = List.of();

        Page(String key) {
            this.key = key;
        }

        @Override
        public String key() {
            return key;
        }

        @Override
        public JsonNode render() {
            holding = new ArrayList<>();
            if (ids.isEmpty()) {
                return null;
            }
            ObjectNode n = Json.object();
            Map<String, Integer> images = new LinkedHashMap<>();
            for (String id : ids.keySet()) {
                Machine m = fleet.machine(id);
                if (m != null) {
                    ArrayNode row = n.putArray(id);
                    boolean holds = m.mayHold() || m.inCensus;
                    row.add(holds ? m.addr : null).add(m.type).add(m.zone).add(m.spot ? 1 : 0).add(digits(m, images));
                    if (holds) {
                        holding.add(id);
                    }
                }
            }
            ArrayNode names = n.putArray(IMAGES);
            images.keySet().forEach(names::add);
            return n;
        }

        private static String digits(Machine m, Map<String, Integer> images) {
            StringBuilder digits = new StringBuilder();
            for (String image : m.images) {
                Integer index = images.get(image);
                if (index == null && images.size() < MAX_IMAGES && image.length() <= MAX_IMAGE_NAME) {
                    index = images.size();
                    images.put(image, index);
                }
                if (index != null) {
                    digits.append(Character.forDigit(index, MAX_IMAGES));
                }
            }
            return digits.toString();
        }

        @Override
        public void stored(long revision) {
            for (String id : holding) {
                Machine m = fleet.machine(id);
                if (m != null && !m.written && m.mayHold()) {
                    fleet.written(m);
                }
            }
        }

        @Override
        public int rank() {
            return 2;
        }
    }
}
