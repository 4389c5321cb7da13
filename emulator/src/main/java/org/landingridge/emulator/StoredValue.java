package org.landingridge.emulator;

import com.fasterxml.jackson.databind.JsonNode;

/** A value with the revision of its last change and the lease that it is bound to, 0 for none. */
record StoredValue(JsonNode value, long version, long lease) {}
