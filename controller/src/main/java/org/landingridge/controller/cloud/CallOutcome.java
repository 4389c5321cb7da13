package org.landingridge.controller.cloud;

import java.util.List;
import org.landingridge.controller.cloud.NextAction.Observation;
import org.landingridge.net.Http;
import org.landingridge.wire.CloudError;
import org.landingridge.wire.RentResponse;

/**
 * The outcome of one call of an operation to the cloud.
 *
 * @param observation what the call showed about the operation
 * @param text        the outcome as readable text, which is stored with the operation
 * @param machines    names of the rented machines; empty unless a rent succeeded
 */
record CallOutcome(Observation observation, String text, List<String> machines) {
    static CallOutcome of(Http.Reply reply) {
        if (reply.is(200)) {
            List<String> machines = RentResponse.parse(reply.body()).machines();
            return new CallOutcome(Observation.SUCCEEDED, "200", machines);
        }
        if (reply.is(400)) {
            return withoutMachines(Observation.FAILED_TERMINAL, "malformed");
        }
        if (reply.is(503) && CloudError.parse(reply.body()).isNoCapacity()) {
            return withoutMachines(Observation.FAILED_TERMINAL, "no capacity");
        }
        return withoutMachines(
                Observation.UNAVAILABLE,
                reply.outcome() == Http.Outcome.ANSWERED
                        ? "status " + reply.status()
                        : reply.outcome().name());
    }

    private static CallOutcome withoutMachines(Observation observation, String text) {
        return new CallOutcome(observation, text, List.of());
    }
}
