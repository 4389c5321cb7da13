package org.landingridge.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimulationTest {
    /** Once it came back, a killed controller got the answer to its watch and led beside its successor. */
    @Test
    void whatAnEarlierProcessAskedIsNotAnsweredToTheNext() {
        Simulation sim = new Simulation(1);
        Simulation.Host server = sim.host("server");
        Simulation.Host client = sim.host("client");
        List<Integer> answers = new ArrayList<>();
        sim.listen("s", server, x -> server.after(1_000, () -> x.answer(200, new byte[0])));
        sim.client(client).call("s", "GET", "/", null, 5_000, reply -> answers.add(reply.status()));
        sim.run(500);
        client.kill();
        client.up = true;
        sim.client(client).call("s", "GET", "/", null, 5_000, reply -> answers.add(2 * reply.status()));
        sim.run(10_000);
        assertEquals(List.of(400), answers);
    }
}
