package org.landingridge.controller.cloud;

import org.landingridge.wire.CloudRequest;

/**
 * What is stored of an operation, beside the leader that works on it.
 *
 * @param lastOutcome  what the last call that changed the state showed; null where the record does not say
 * @param dispatchedAt when it was decided, in milliseconds of the day's clock
 */
record StoredOperation(CloudRequest request, Operation.State state, String lastOutcome, long dispatchedAt) {}
