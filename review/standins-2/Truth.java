import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What users sent and what the machines did, as the stand-ins see it. */
final class Truth {
    final Map<String, Map<String, Object>> specs = new ConcurrentHashMap<>();
    /** Jobs that fail on every machine. */
    final Set<String> mistaken = ConcurrentHashMap.newKeySet();
    final Set<String> done = ConcurrentHashMap.newKeySet();
    /** Machine by task that is on it. */
    final Map<String, String> places = new ConcurrentHashMap<>();
    final Map<String, Double> firstStart = new ConcurrentHashMap<>();
    final Set<String> brokenRules = ConcurrentHashMap.newKeySet();

    void started(String take, String machine) {
        Rec.log("%s runs on %s", take, machine);
        String other = places.put(take, machine);
        if (other != null && !other.equals(machine)) {
            Rec.log("ran_twice: %s starts on %s while it is on %s", take, machine, other);
            brokenRules.add("ran_twice");
        }
        firstStart.putIfAbsent(take, Rec.now());
    }

    void left(String take, String machine, String why) {
        if (places.remove(take, machine)) {
            Rec.log("%s leaves %s: %s", take, machine, why);
        }
    }
}
