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
 * The stored registry of machines: pages in the state service, each with the rows of many machines. A machine whose row has an
 * address may hold tasks. A machine whose row has none has sent no heartbeat yet, or its lease has expired; a later leader need
 * not wait for it. A row may also store how long the machine had been silent when the page was written, and the token of the
 * leader that wrote it: that leader answers no heartbeat of the machine until it has stored the row without a silence.
 *
 * <p>A page also lists the images on its machines, as known when the page was last written, so that a later leader can start
 * services where their image already is. The list is a hint: a change of images alone causes no write.
 */
public final class MachineRegistry {
    /** Prefix of the page keys, below the root. */
    public static final String PREFIX = "fleet/";

    private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);
    /** Field of a page that lists image names; machines' rows refer to them by one digit each. */
    private static final String IMAGES = "images";

    private static final int MAX_IMAGES = 36;
    private static final int MAX_IMAGE_NAME = 24;
    /** Share of the value size limit that rows may fill; the rest is reserved for image names added later. */
    private static final double FILL = 0.85;
    /** Size of a row without its texts but with its image digits, in bytes. */
    private static final int ROW = 24;
    /** Assumed length of an address that is not known yet, in bytes. */
    private static final int ADDRESS = 22;
    /** Write priority of a page whose write makes machines usable. */
    private static final int USABLE = 2;
    /** Write priority of every other page. */
    private static final int LATER = 6;

    private final BatchWriter writer;
    private final RegistryHooks fleet;
    private final MachineTable machines;
    private final int valueBytes;
    private final PageTable<MachinePage> pages;
    /** Keys of unreadable pages; they are not written until the leases of their machines have expired. */
    private final Set<String> quarantined = new LinkedHashSet<>();

    /** @param valueBytes size limit of a value in the state service, in bytes */
    public MachineRegistry(String root, BatchWriter writer, Fleet fleet, int valueBytes) {
        this.writer = writer;
        this.fleet = fleet.registryHooks();
        this.machines = this.fleet.machines();
        this.valueBytes = valueBytes;
        this.pages = new PageTable<>(root + PREFIX, (int) (valueBytes * FILL), MachinePage::new, writer);
    }

    /**
     * Takes over a page from the state service.
     *
     * @param at       time on the loop's clock at which this process first read the page in this form
     * @param previous token under which the previous leader term began; silences stored under another token are ignored,
     *                 since a later leader may have answered those machines
     */
    public void takeOver(String key, JsonNode value, long at, long previous) {
        String wrong = wrong(value);
        if (wrong != null) {
            // If the page were treated as empty, tasks that run on its machines would be started a second time
            // elsewhere.
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
            // A leader stopped between the two writes of a page split, so the machine is in two pages. It may hold
            // tasks
            // if either row has an address.
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

    /** Returns the reason why a page is unreadable, or null if it is readable. */
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

    /** Deletes the unreadable pages, once the leases of their machines have expired. */
    public void dropUnreadable() {
        for (String key : quarantined) {
            writer.mark(pages.open(key));
        }
        quarantined.clear();
    }

    /** Splits pages that exceed the present size limit. */
    public void splitOversized() {
        pages.splitOversized();
    }

    /** Adds or updates the machine's row and schedules a write of its page. */
    public void add(Machine machine) {
        writer.mark(pages.put(machine.id(), size(machine)));
    }

    /** Removes the row of a machine that is gone. */
    public void remove(String id) {
        MachinePage page = pages.remove(id);
        if (page != null) {
            writer.mark(page);
        }
    }

    /** Returns the size assumed for the machine's row, in bytes. */
    private static int size(Machine machine) {
        String address = machine.address();
        return ROW
                + machine.id().length()
                + machine.type().length()
                + machine.zone().length()
                + (address == null ? ADDRESS : address.length());
    }

    private final class MachinePage extends Page {
        /** Machines whose row has an address in the latest rendering. */
        private List<String> holding = List.of();
        /** Machines whose row in the latest rendering no longer stores a silence. */
        private List<String> resuming = List.of();
        /** Machines whose silence is stored for the first time by the latest rendering. */
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
            // If the result of the previous write is unknown, its silences may be stored, so they stay marked as
            // stored.
            silenced = new ArrayList<>();
            ObjectNode page = render(true);
            // The images are a hint; they are left out when the page would exceed the size limit.
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

        /** Returns true if starts or heartbeat answers wait for the machine's row to be stored. */
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
