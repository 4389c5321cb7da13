package org.landingridge.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** What a user does from a shell: one call to a controller each. */
final class UserCommands {
    private UserCommands() {}

    @Command(name = "submit", mixinStandardHelpOptions = true, description = "Submit a job.")
    static final class Submit implements Callable<Integer> {
        @Mixin
        private ServerOption server;

        @Parameters(paramLabel = "FILE", description = "the job (JSON)")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return server.ask("POST", "/api/jobs", Files.readAllBytes(file));
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Show a job's state.")
    static final class Show implements Callable<Integer> {
        @Mixin
        private ServerOption server;

        @Parameters(paramLabel = "JOB", description = "the job's id")
        private String job;

        @Override
        public Integer call() throws Exception {
            return server.ask("GET", "/api/jobs/" + job, null);
        }
    }

    @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancel a job.")
    static final class Cancel implements Callable<Integer> {
        @Mixin
        private ServerOption server;

        @Parameters(paramLabel = "JOB", description = "the job's id")
        private String job;

        @Override
        public Integer call() throws Exception {
            return server.ask("POST", "/api/jobs/" + job + "/cancel", new byte[0]);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Show what a controller knows.")
    static final class Status implements Callable<Integer> {
        @Mixin
        private ServerOption server;

        @Override
        public Integer call() throws Exception {
            return server.ask("GET", "/api/status", null);
        }
    }
}
