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
 * The stored registry of machines: every machine, many to one stored value. A row with an address is of a machine that may hold
 * tasks; one without has sent no heartbeat yet, or its lease has run out, and a later leader need not wait for it. A row may also
 * say for how many milliseconds its machine had been silent when the page was written, and under which leader's token: that
 * leader answers it no more before it has written the row without.
 *
 * <p>Beside them stands which images the machines have, as far as was known when the page was last written: a later
 * leader starts services where their image is. That is a hint, and no page is written for it alone.
 */
public final class MachineRegistry {
    /** Prefix of the keys of its pages, below the root. */
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
    /** Ranks of a page that makes machines usable, and of one that does not. */
    private static final int USABLE = 2;

    private static final int LATER = 6;
    private final BatchWriter writer;
    private final RegistryHooks fleet;
    private final MachineTable machines;
    private final int valueBytes;
    private final PageTable<MachinePage> pages;
    /** Keys of pages that cannot be read; nothing is written there before their machines' leases are over. */
    private final Set<String> quarantined = new LinkedHashSet<>();

    /** @param valueBytes the most bytes that the state service takes for a value */
    public MachineRegistry(String root, BatchWriter writer, Fleet fleet, int valueBytes) {
        this.writer = writer;
        this.fleet = fleet.registryHooks();
        this.machines = this.fleet.machines();
        this.valueBytes = valueBytes;
        this.pages = new PageTable<>(root + PREFIX, (int) (valueBytes * FILL), MachinePage::new, writer);
    }

    /**
     * Takes over a page as it stands in the state service.
     *
     * @param at       when, by the loop's clock, this process first saw it so
     * @param previous the token under which the last leader term began: only what it wrote of silent machines counts,
     *                 since a later one may have answered them
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
        value.properties().forEach(field -> {
            if (!field.getKey().equals(IMAGES)) {
                takeOver(field.getKey(), MachineRow.read(field.getValue()), page, images, at, previous);
            }
        });
    }

    private void takeOver(String id, MachineRow row, MachinePage page, JsonNode images, long at, long previous) {
        MachinePage other = pages.of(id);
        if (other != null) {
            // A leader ended between the two steps of a split. What may hold tasks by either row may hold them.
            writer.mark(page);
            if (row.address() == null || machines.get(id).address() != null) {
                return;
            }
        }
        Machine machine = machines.addRegistered(
                id, row.address(), row.type(), row.zone(), row.spot(), row.silentSince(at, previous));
        pages.put(id, size(machine), other == null ? page : other);
        for (char digit : row.images().toCharArray()) {
            machine.used(Json.text(images, Character.digit(digit, MAX_IMAGES)));
        }
    }

    /** What is wrong with a page, in a few words, or null. */
    private String wrong(JsonNode value) {
        if (!value.isObject()) {
            return "not an object";
        }
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            boolean readable = field.getKey().equals(IMAGES)
                    ? field.getValue().isArray()
                    : MachineRow.readable(field.getValue(), machines::knowsType);
            if (!readable) {
                return "row " + field.getKey();
            }
        }
        return null;
    }

    /** The machines of the pages that cannot be read hold nothing any more: the pages go. */
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

    /** The machine's row is written with the next page. */
    public void add(Machine machine) {
        writer.mark(pages.put(machine.id(), size(machine)));
    }

    /** The machine is gone: its row goes. */
    public void remove(String id) {
        MachinePage page = pages.remove(id);
        if (page != null) {
            writer.mark(page);
        }
    }

    /** Bytes that the machine's row may take. */
    private static int size(Machine machine) {
        String address = machine.address();
        return ROW
                + machine.id().length()
                + machine.type().length()
                + machine.zone().length()
                + (address == null ? ADDRESS : address.length());
    }

    private final class MachinePage extends Page {
        /** Machines that stand with their address in the form rendered last. */
        private List<String> holding = List.of();
        /** Machines whose row in the form rendered last says nothing of a silence any more. */
        private List<String> resuming = List.of();
        /** Machines of whose silence that form was the first to say anything. */
        private List<Machine> silenced = List.of();

        MachinePage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            if (names().isEmpty()) {
                holding = List.of();
                resuming = List.of();
                return null;
            }
            // Where nobody knows what became of the form before, the silences in it may be stored.
            silenced = new ArrayList<>();
            ObjectNode page = render(true);
            // What images there are is a hint: it gives way to the machines.
            return Json.bytes(page).length <= valueBytes ? page : render(false);
        }

        private ObjectNode render(boolean hints) {
            holding = new ArrayList<>();
            resuming = new ArrayList<>();
            ObjectNode page = Json.object();
            Map<String, Integer> images = new LinkedHashMap<>();
            for (String id : names()) {
                Machine machine = machines.get(id);
                if (machine != null) {
                    row(machine, hints ? digits(machine, images) : "").write(page.putArray(id));
                }
            }
            ArrayNode names = page.putArray(IMAGES);
            images.keySet().forEach(names::add);
            return page;
        }

        private MachineRow row(Machine machine, String images) {
            boolean holds = machine.mayHold() || machine.unverified();
            long silentMs = MachineRow.NOT_SILENT;
            if (machine.contact().state() == Contact.State.SUSPENDED && holds) {
                silentMs = fleet.silentMs(machine);
                if (!machine.contact().silenceStored()) {
                    machine.contact().silenceStored(true);
                    silenced.add(machine);
                }
            } else if (machine.contact().state() == Contact.State.RESUMING) {
                resuming.add(machine.id());
            }
            if (holds) {
                holding.add(machine.id());
            }
            return new MachineRow(
                    holds ? machine.address() : null,
                    machine.type(),
                    machine.zone(),
                    machine.spot(),
                    images,
                    silentMs,
                    fleet.token());
        }

        private static String digits(Machine machine, Map<String, Integer> images) {
            StringBuilder digits = new StringBuilder();
            for (String image : machine.images()) {
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
                Machine machine = machines.get(id);
                if (machine != null && !machine.registered() && machine.mayHold()) {
                    fleet.registered(machine);
                }
            }
            for (String id : resuming) {
                Machine machine = machines.get(id);
                if (machine != null && machine.contact().state() == Contact.State.RESUMING) {
                    fleet.resume(machine);
                }
            }
        }

        @Override
        public void refused() {
            silenced.forEach(machine -> machine.contact().silenceStored(false));
            silenced = List.of();
        }

        /** True if tasks or answers wait for the machine's row to be stored. */
        private static boolean awaitsRow(Machine machine) {
            boolean startsWait = !machine.registered() && machine.mayHold();
            return startsWait || machine.contact().state() != Contact.State.ANSWERED;
        }

        @Override
        public int rank() {
            for (String id : names()) {
                Machine machine = machines.get(id);
                if (machine != null && awaitsRow(machine)) {
                    return USABLE;
                }
            }
            return LATER;
        }
    }
}
