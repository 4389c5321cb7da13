package org.landingridge.controller.cli;

import picocli.CommandLine.Option;

/** The options of each command that reads settings files. */
final class SettingsOptions {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private String config;

    @Option(names = "--operators", paramLabel = "FILE", description = "the operators' settings (JSON)")
    private String operators;

    /** The platform's file. */
    String config() {
        return config;
    }

    /** The operators' file, or null. */
    String operators() {
        return operators;
    }
}
