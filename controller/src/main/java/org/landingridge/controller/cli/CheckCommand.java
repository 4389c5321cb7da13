package org.landingridge.controller.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Checks settings without running anything. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Check settings files.")
public final class CheckCommand implements Callable<Integer> {
    @Mixin
    private SettingsOptions files;

    /** Prints what was read; 0, or 2 where the settings cannot be used. */
    @Override
    public Integer call() {
        try {
            Settings settings = Settings.read(Path.of(files.config()));
            if (files.operators() != null) {
                Policy.read(Path.of(files.operators()));
            }
            System.out.printf(
                    "ok: %s with %d other controllers, %d teams%n",
                    settings.host(), settings.peers().size(), settings.teams().size());
            return 0;
        } catch (InvalidSettingsException e) {
            System.err.println("landingridge: " + e.getMessage());
            return 2;
        }
    }
}
