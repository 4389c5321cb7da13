package org.landingridge.controller.cloud;

import org.landingridge.wire.CloudRequest;

/**
 * The stored fields of an operation, except for the leader that has claimed it.
 *
 * @param lastOutcome  outcome of the last call that changed the state; null if the record has none
 * @param dispatchedAt time at which the operation was created, in wall-clock milliseconds
 */
record StoredOperation(CloudRequest request, Operation.State state, String lastOutcome, long dispatchedAt) {}
