package org.landingridge.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.UUID;
import org.landingridge.wire.Json;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The options of each change of the configuration. Whoever sends it once more with the same key makes it once. */
final class ChangeOptions {
    @Mixin
    private ServerOption server;

    @Option(names = "--by", required = true, description = "who makes the change")
    private String by;

    @Option(names = "--why", required = true, description = "the reason")
    private String why;

    @Option(names = "--expected", defaultValue = "-1", description = "number that has to hold, as config show tells it")
    private long expected;

    @Option(names = "--key", description = "of an earlier try whose answer was lost")
    private String key;

    @Option(names = "--dry-run", description = "only say what would be")
    private boolean dryRun;

    /** Sends the change; where it fails, says with which key to send it again. Returns the exit code. */
    int send(ObjectNode change) throws IOException, InterruptedException {
        String used = key == null ? UUID.randomUUID().toString() : key;
        change.put("key", used)
                .put("by", by)
                .put("why", why)
                .put("expected", expected)
                .put("dryRun", dryRun);
        int code = server.ask("POST", ConfigCommand.PATH, Json.bytes(change));
        if (code != 0 && !dryRun) {
            System.err.println("landingridge: to ask for the same change again, add --key " + used);
        }
        return code;
    }
}
