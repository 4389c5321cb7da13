package org.landingridge.wire;

/**
 * A task as the worker protocol names it: {@code JOB/NUMBER}.
 *
 * @param job  identifier of the job
 * @param task number of the task in its job
 */
record TaskName(String job, int task) {
    static TaskName parse(String text) throws InvalidMessageException {
        int slash = text == null ? -1 : text.lastIndexOf('/');
        if (slash < 1) {
            throw new InvalidMessageException("a task lacks its name");
        }
        try {
            return new TaskName(text.substring(0, slash), Integer.parseInt(text, slash + 1, text.length(), 10));
        } catch (NumberFormatException e) {
            throw new InvalidMessageException("task name " + text + " has no number");
        }
    }

    static String of(String job, int task) {
        return job + "/" + task;
    }
}
