package review;

import java.nio.file.Path;

/** Runs one case: {@code Main CASE ROOT RECORD}; the environment variable TROUBLE=0 leaves the disruption out. */
public final class Main {
    private Main() {}

    public static void main(String[] arguments) {
        int code = Deployment.NOT_RUN;
        try {
            Path root = Path.of(arguments[1]);
            Record.open(Path.of(arguments[2]));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            code = switch (arguments[0]) {
                case "waiting" -> CaseWaiting.run(root, trouble);
                case "messages" -> CaseMessages.run(root, trouble);
                case "invented" -> CaseInvented.run(root, trouble);
                default -> throw new IllegalArgumentException("no such case: " + arguments[0]);
            };
            Record.line("exit %d", code);
        } catch (Exception e) {
            e.printStackTrace();
            code = Deployment.NOT_RUN;
        }
        System.exit(code);
    }
}
