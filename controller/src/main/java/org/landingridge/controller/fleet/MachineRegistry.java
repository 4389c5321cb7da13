package org.landingridge.controller.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingridge.controller.store.BatchWriter;
import org.landingridge.controller.store.Page;
import org.landingridge.controller.store.PageTable;
import org.landingridge.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The written roster: every machine, many to one stored value. A row with an address is of a machine that may hold
 * tasks; one without has not reported yet, or its lease has run out, and a later leader need not wait for it. A row may also
 * say for how many milliseconds its machine had been silent when the page was written, and under which leader's token: that
 * leader answers it no more before it has written the row without.
 *
 * <p>Beside them stands which images the machines have, as far as was known when the page was last written: a later
 * leader starts services where their image is. That is a hint, and no page is written for it alone.
 */
public final class MachineRegistry {
    public static final String PREFIX = "fleet/";
    private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);
    /** The row of a page that names images; in the others each stands as one digit. */
    private static final String IMAGES = "images";

    private static final int MAX_IMAGES = 36;
    private static final int MAX_IMAGE_NAME = 24;
    /** Of a value so much may be filled; the rest is for names of images that come later. */
    private static final double FILL = 0.85;
    /** What a row takes beside its texts, its images' digits included. */
    private static final int ROW = 24;
    /** An address that is not known yet is taken to be so long. */
    private static final int ADDRESS = 22;
    /** Ranks of a page that makes machines usable, and of one that only tells of them. */
    private static final int USABLE = 2;

    private static final int LATER = 6;
    private final BatchWriter writer;
    private final Fleet fleet;
    private final int valueBytes;
    private final PageTable<MachinePage> pages;
    /** Keys of pages that cannot be read; nothing is written there before their machines' leases are over. */
    private final Set<String> quarantined = new LinkedHashSet<>();

    /** @param valueBytes what the state service takes for a value */
    public MachineRegistry(String root, BatchWriter writer, Fleet fleet, int valueBytes) {
        this.writer = writer;
        this.fleet = fleet;
        this.valueBytes = valueBytes;
        this.pages = new PageTable<>(root + PREFIX, (int) (valueBytes * FILL), MachinePage::new, writer);
    }

    /**
     * Takes over a page as it stands in the state service.
     *
     * @param at       when, by the loop's clock, this process first saw it so
     * @param previous the token under which the last leader's leader term began: only its word on silent machines counts, since a
     *                 later one may have answered them
     */
    public void takeOver(String key, JsonNode value, long at, long previous) {
        String wrong = wrong(value);
        if (wrong != null) {
            // Taken for empty, what its machines hold would be started once more elsewhere.
            LOG.error("{} cannot be read ({}): until a lease is over its machines may hold anything", key, wrong);
            quarantined.add(key);
            pages.reserve(key);
            fleet.unreadable();
            return;
        }
        MachinePage page = pages.open(key);
        JsonNode images = value.path(IMAGES);
        value.properties().forEach(e -> {
            if (e.getKey().equals(IMAGES)) {
                return;
            }
            JsonNode row = e.getValue();
            MachinePage other = pages.of(e.getKey());
            if (other != null) {
                // A leader ended between the two steps of a split. What may hold tasks by either row may hold them.
                writer.mark(page);
                if (row.path(0).isNull() || fleet.machine(e.getKey()).addr != null) {
                    return;
                }
            }
            fleet.fromRoster(
                    e.getKey(),
                    row.path(0).isTextual() ? row.path(0).textValue() : null,
                    row.path(1).asText(),
                    row.path(2).asText(),
                    row.path(3).asInt() == 1,
                    row.path(5).isNumber() && row.path(6).asLong() == previous
                            ? at - row.path(5).asLong()
                            : Long.MAX_VALUE);
            Machine m = fleet.machine(e.getKey());
            pages.put(m.id, size(m), other == null ? page : other);
            for (char digit : row.path(4).asText().toCharArray()) {
                m.used(Json.text(images, Character.digit(digit, MAX_IMAGES)));
            }
        });
    }

    /** What is wrong with a page, in a few words, or null. */
    private String wrong(JsonNode value) {
        if (!value.isObject()) {
            return "not an object";
        }
        for (Map.Entry<String, JsonNode> e : value.properties()) {
            JsonNode row = e.getValue();
            boolean right = row.isArray()
                    && (e.getKey().equals(IMAGES)
                            || row.size() >= 4
                                    && (row.get(0).isNull() || row.get(0).isTextual())
                                    && fleet.knows(row.get(1).asText())
                                    && row.get(2).isTextual()
                                    && row.get(3).isNumber());
            if (!right) {
                return "row " + e.getKey();
            }
        }
        return null;
    }

    /** What the pages that cannot be read told of holds nothing any more: they go. */
    public void dropUnreadable() {
        for (String key : quarantined) {
            writer.mark(pages.open(key));
        }
        quarantined.clear();
    }

    /** Pages that were filled up to a larger limit are split. */
    public void splitOversized() {
        pages.splitOversized();
    }

    public void add(Machine m) {
        writer.mark(pages.put(m.id, size(m)));
    }

    public void remove(String id) {
        MachinePage page = pages.remove(id);
        if (page != null) {
            writer.mark(page);
        }
    }

    /** Bytes that the machine's row may take. */
    private static int size(Machine m) {
        return ROW + m.id.length() + m.type.length() + m.zone.length() + (m.addr == null ? ADDRESS : m.addr.length());
    }

    private final class MachinePage extends Page {
        /** Machines that stand with their address in the form rendered last. */
        private List<String> holding = List.of();
        /** Machines that the form rendered last calls silent no more. */
        private List<String> speaking = List.of();
        /** Machines of whose silence that form was the first to tell. */
        private List<Machine> telling = List.of();

        MachinePage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            if (names().isEmpty()) {
                holding = List.of();
                speaking = List.of();
                return null;
            }
            // Where nobody knows what became of the form before, its machines stay told of.
            telling = new ArrayList<>();
            ObjectNode n = render(true);
            // What images there are is a hint: it gives way to the machines.
            return Json.bytes(n).length <= valueBytes ? n : render(false);
        }

        private ObjectNode render(boolean hints) {
            holding = new ArrayList<>();
            speaking = new ArrayList<>();
            ObjectNode n = Json.object();
            Map<String, Integer> images = new LinkedHashMap<>();
            for (String id : names()) {
                Machine m = fleet.machine(id);
                if (m != null) {
                    ArrayNode row = n.putArray(id);
                    boolean holds = m.mayHold() || m.unverified;
                    row.add(holds ? m.addr : null)
                            .add(m.type)
                            .add(m.zone)
                            .add(m.spot ? 1 : 0)
                            .add(hints ? digits(m, images) : "");
                    if (m.contact() == Machine.Contact.MUTED && holds) {
                        row.add(fleet.silentMs(m)).add(fleet.token());
                        if (!m.told) {
                            m.told = true;
                            telling.add(m);
                        }
                    } else if (m.contact() == Machine.Contact.RETURNING) {
                        speaking.add(id);
                    }
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
            super.stored(revision);
            for (String id : holding) {
                Machine m = fleet.machine(id);
                if (m != null && !m.written && m.mayHold()) {
                    fleet.written(m);
                }
            }
            for (String id : speaking) {
                Machine m = fleet.machine(id);
                if (m != null && m.contact() == Machine.Contact.RETURNING) {
                    fleet.speaks(m);
                }
            }
        }

        @Override
        public void refused() {
            telling.forEach(m -> m.told = false);
            telling = List.of();
        }

        @Override
        public int rank() {
            for (String id : names()) {
                Machine m = fleet.machine(id);
                if (m != null && (!m.written && m.mayHold() || m.contact() != Machine.Contact.HEARD)) {
                    return USABLE;
                }
            }
            return LATER;
        }
    }
}
