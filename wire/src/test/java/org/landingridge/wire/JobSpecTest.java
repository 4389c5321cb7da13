package org.landingridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JobSpecTest {
    private static final String GOOD = """
            {"id":"job-000412","lane":"train","crew":"vision","shape":"sweep","urgency":"urgent","takes":16,
             "cpus":8.0,"cards":1.0,"memoryGb":64.0,"reel":"img-07","sizeGb":6.2,"rigs":["g8"],"yard":null,
             "oneZone":true,"scatter":false,"standby":true,"runtimeS":240.0,"savepointS":30.0,"flushS":4.0,
             "airtimeS":900.0,"more":{"unknown":1}}""";

    private static ObjectNode good() {
        return (ObjectNode) Json.parse(GOOD.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatIsWrittenIsReadBack() throws InvalidMessageException {
        JobSpec spec = JobSpec.parse(good());
        assertEquals(16, spec.tasks());
        assertEquals(900.0, spec.deadlineS());
        assertEquals(spec, JobSpec.parse(Json.parse(Json.bytes(spec.json()))));
    }

    @ParameterizedTest
    @CsvSource({
        "id,'\"x\"'",
        "id,null",
        "id,7",
        "lane,null",
        "crew,''",
        "shape,'\"gang\"'",
        "urgency,'\"high\"'",
        "takes,0",
        "takes,100001",
        "takes,1.5",
        "takes,'\"3\"'",
        "cpus,-1",
        "cpus,'\"1\"'",
        "memoryGb,null",
        "rigs,'\"g8\"'",
        "rigs,'[1]'",
        "awaits,'\"job-000001\"'",
        "awaits,'[1]'",
        "awaits,'[\"x\"]'",
        "awaits,'{}'",
        "awaits,'[null]'",
        "oneZone,1",
        "airtimeS,-3",
        "runtimeS,1e300"
    })
    void aWrongFieldIsNamed(String field, String json) {
        ObjectNode n = good();
        if (json == null || json.isEmpty()) {
            n.remove(field);
        } else {
            n.set(field, Json.parse(json.getBytes(StandardCharsets.UTF_8)));
        }
        InvalidMessageException e = assertThrows(InvalidMessageException.class, () -> JobSpec.parse(n));
        assertTrue(e.getMessage().contains("field " + field), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({"''", "'['", "'[]'", "'{} x'", "'null'", "'3'"})
    void otherBodiesAreRefused(String body) {
        assertThrows(
                InvalidMessageException.class, () -> JobSpec.parse(Json.parse(body.getBytes(StandardCharsets.UTF_8))));
    }

    @ParameterizedTest
    @CsvSource({"'null',''", "'[]',''", "'[\"job-000398\",\"job-000405\",\"job-000398\"]','job-000398 job-000405'"})
    void awaitedJobsAreReadOnceEach(String json, String expected) throws InvalidMessageException {
        ObjectNode n = good();
        n.set("awaits", Json.parse(json.getBytes(StandardCharsets.UTF_8)));
        JobSpec spec = JobSpec.parse(n);
        assertEquals(expected, String.join(" ", spec.awaits()));
        assertEquals(spec, JobSpec.read(Json.parse(Json.bytes(spec.json()))));
    }

    @Test
    void moreAwaitedJobsThanMayBeAreMalformed() {
        ObjectNode n = good();
        for (int i = 0; i <= JobSpec.MAX_AWAITED; i++) {
            n.withArray("awaits").add("job-" + i);
        }
        assertThrows(InvalidMessageException.class, () -> JobSpec.parse(n));
    }

    @Test
    void deepNestingIsNoJson() {
        String deep = "[".repeat(30_000) + "]".repeat(30_000);
        assertEquals(null, Json.parse(deep.getBytes(StandardCharsets.UTF_8)));
    }
}
