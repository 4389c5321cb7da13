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
    private static final String IMAGES_FIELD = "images";

    private static final int MAX_IMAGES = 36;
    private static final int MAX_IMAGE_NAME_LENGTH = 24;
    /** Share of the value size limit that rows may fill; the rest is reserved for image names added later. */
    private static final double FILL_SHARE = 0.85;
    /** Size of a row without its texts but with its image digits, in bytes. */
    private static final int ROW_OVERHEAD_BYTES = 24;
    /** Assumed length of an address that is not known yet, in bytes. */
    private static final int ASSUMED_ADDRESS_BYTES = 22;
    /** Write priority of a page whose write makes machines usable. */
    private static final int URGENT_RANK = 2;
    /** Write priority of every other page. */
    private static final int NORMAL_RANK = 6;

    private final BatchWriter writer;
    private final RegistryHooks hooks;
    private final MachineTable machines;
    private final int valueBytes;
    private final PageTable<MachinePage> pages;
    /** Keys of unreadable pages; they are not written until the leases of their machines have expired. */
    private final Set<String> unreadableKeys = new LinkedHashSet<>();

    /** @param valueBytes size limit of a value in the state service, in bytes */
    public MachineRegistry(String root, BatchWriter writer, Fleet fleet, int valueBytes) {
        this.writer = writer;
        this.hooks = fleet.registryHooks();
        this.machines = this.hooks.machines();
        this.valueBytes = valueBytes;
        this.pages = new PageTable<>(root + PREFIX, (int) (valueBytes * FILL_SHARE), MachinePage::new, writer);
    }

    /**
     * Takes over a page from the state service.
     *
     * @param seenAt        time on the loop's clock at which this process first read the page in this form
     * @param previousToken token under which the previous leader term began; silences stored under another token are ignored,
     *                      since a later leader may have answered those machines
     */
    public void takeOver(String key, JsonNode value, long seenAt, long previousToken) {
        String defect = findDefect(value);
        if (defect != null) {
            // If the page were treated as empty, the tasks on its machines would be started a second time elsewhere.
            LOG.error(
                    "registry page unreadable, its machines may hold any task until lease expiry, key={} defect={}",
                    key,
                    defect);
            unreadableKeys.add(key);
            pages.reserve(key);
            hooks.recordUnreadablePage();
            return;
        }
        MachinePage page = pages.addPage(key);
        JsonNode imageNames = value.path(IMAGES_FIELD);
        value.properties().forEach(field -> {
            if (!field.getKey().equals(IMAGES_FIELD)) {
                takeOver(field.getKey(), MachineRow.read(field.getValue()), page, imageNames, seenAt, previousToken);
            }
        });
    }

    private void takeOver(
            String id, MachineRow row, MachinePage page, JsonNode imageNames, long seenAt, long previousToken) {
        MachinePage otherPage = pages.pageOf(id);
        if (otherPage != null) {
            // The machine is in two pages, because a leader stopped between the two writes of a page split. It may
            // hold tasks if either row has an address.
            writer.mark(page);
            if (row.address() == null || machines.get(id).address() != null) {
                return;
            }
        }
        Machine machine = machines.addRegistered(
                id, row.address(), row.type(), row.zone(), row.spot(), row.silentSince(seenAt, previousToken));
        pages.put(id, rowBytes(machine), otherPage == null ? page : otherPage);
        for (char digit : row.images().toCharArray()) {
            machine.markImageUsed(Json.text(imageNames, Character.digit(digit, MAX_IMAGES)));
        }
    }

    /** Returns the reason why a page is unreadable, or null if it is readable. */
    private String findDefect(JsonNode value) {
        if (!value.isObject()) {
            return "page is not an object";
        }
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            boolean readable = field.getKey().equals(IMAGES_FIELD)
                    ? field.getValue().isArray()
                    : MachineRow.isReadable(field.getValue(), machines::knowsType);
            if (!readable) {
                return "malformed row " + field.getKey();
            }
        }
        return null;
    }

    /** Deletes the unreadable pages, once the leases of their machines have expired. */
    public void dropUnreadable() {
        for (String key : unreadableKeys) {
            writer.mark(pages.addPage(key));
        }
        unreadableKeys.clear();
    }

    /** Splits pages that exceed the present size limit. */
    public void splitOversized() {
        pages.splitOversized();
    }

    /** Adds or updates the machine's row and schedules a write of its page. */
    public void add(Machine machine) {
        writer.mark(pages.put(machine.id(), rowBytes(machine)));
    }

    /** Removes the row of a machine that is gone. */
    public void remove(String id) {
        MachinePage page = pages.remove(id);
        if (page != null) {
            writer.mark(page);
        }
    }

    /** Returns the size assumed for the machine's row, in bytes. */
    private static int rowBytes(Machine machine) {
        String address = machine.address();
        return ROW_OVERHEAD_BYTES
                + machine.id().length()
                + machine.typeName().length()
                + machine.zone().length()
                + (address == null ? ASSUMED_ADDRESS_BYTES : address.length());
    }

    private final class MachinePage extends Page {
        /** Machines whose row has an address in the latest rendering. */
        private List<String> idsWithAddress = List.of();
        /** Machines whose row in the latest rendering no longer stores a silence. */
        private List<String> resumingIds = List.of();
        /** Machines whose silence is stored for the first time by the latest rendering. */
        private List<Machine> newlySilent = List.of();

        MachinePage(String key) {
            super(key);
        }

        @Override
        public JsonNode render() {
            if (rowNames().isEmpty()) {
                idsWithAddress = List.of();
                resumingIds = List.of();
                return null;
            }
            // If the result of the previous write is unknown, its silences may be stored and stay marked as such.
            newlySilent = new ArrayList<>();
            ObjectNode page = render(true);
            // The images are a hint; they are left out when the page would exceed the size limit.
            return Json.bytes(page).length <= valueBytes ? page : render(false);
        }

        private ObjectNode render(boolean withImages) {
            idsWithAddress = new ArrayList<>();
            resumingIds = new ArrayList<>();
            ObjectNode page = Json.object();
            Map<String, Integer> indexByImage = new LinkedHashMap<>();
            for (String id : rowNames()) {
                Machine machine = machines.get(id);
                if (machine != null) {
                    row(machine, withImages ? imageDigits(machine, indexByImage) : "")
                            .write(page.putArray(id));
                }
            }
            ArrayNode imageNames = page.putArray(IMAGES_FIELD);
            indexByImage.keySet().forEach(imageNames::add);
            return page;
        }

        private MachineRow row(Machine machine, String imageDigits) {
            boolean mayHoldTasks = machine.mayHoldTasks() || machine.unverified();
            long silentMs = MachineRow.NOT_SILENT;
            if (machine.contact().state() == Contact.State.SUSPENDED && mayHoldTasks) {
                silentMs = hooks.silentMs(machine);
                if (!machine.contact().silenceStored()) {
                    machine.contact().silenceStored(true);
                    newlySilent.add(machine);
                }
            } else if (machine.contact().state() == Contact.State.RESUMING) {
                resumingIds.add(machine.id());
            }
            if (mayHoldTasks) {
                idsWithAddress.add(machine.id());
            }
            return new MachineRow(
                    mayHoldTasks ? machine.address() : null,
                    machine.typeName(),
                    machine.zone(),
                    machine.spot(),
                    imageDigits,
                    silentMs,
                    hooks.token());
        }

        private static String imageDigits(Machine machine, Map<String, Integer> indexByImage) {
            StringBuilder digits = new StringBuilder();
            for (String image : machine.images()) {
                Integer index = indexByImage.get(image);
                if (index == null && indexByImage.size() < MAX_IMAGES && image.length() <= MAX_IMAGE_NAME_LENGTH) {
                    index = indexByImage.size();
                    indexByImage.put(image, index);
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
            for (String id : idsWithAddress) {
                Machine machine = machines.get(id);
                if (machine != null && !machine.registered() && machine.mayHoldTasks()) {
                    hooks.markRegistered(machine);
                }
            }
            for (String id : resumingIds) {
                Machine machine = machines.get(id);
                if (machine != null && machine.contact().state() == Contact.State.RESUMING) {
                    hooks.resume(machine);
                }
            }
        }

        @Override
        public void refused() {
            newlySilent.forEach(machine -> machine.contact().silenceStored(false));
            newlySilent = List.of();
        }

        /** Returns true if starts or heartbeat answers wait for the machine's row to be stored. */
        private static boolean awaitsRow(Machine machine) {
            boolean startsWait = !machine.registered() && machine.mayHoldTasks();
            return startsWait || machine.contact().state() != Contact.State.ANSWERED;
        }

        @Override
        public int rank() {
            for (String id : rowNames()) {
                Machine machine = machines.get(id);
                if (machine != null && awaitsRow(machine)) {
                    return URGENT_RANK;
                }
            }
            return NORMAL_RANK;
        }
    }
}
