package org.landingridge.controller.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.landingridge.controller.settings.InvalidSettingsException;
import org.landingridge.controller.settings.Policy;
import org.landingridge.controller.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Checks settings without running anything. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Check settings files.")
public final class CheckCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path config;

    @Option(names = "--operators", paramLabel = "FILE", description = "the operators' settings (JSON)")
    private Path operators;

    @Override
    public Integer call() {
        try {
            Settings s = Settings.read(config);
            if (operators != null) {
                Policy.read(operators);
            }
            System.out.printf(
                    "ok: %s with %d other controllers, %d teams%n",
                    s.host(), s.peers().size(), s.teams().size());
            return 0;
        } catch (InvalidSettingsException e) {
            System.err.println("landingridge: " + e.getMessage());
            return 2;
        }
    }
}
