package org.landingridge.wire.state;

/** The protocol's names of fields and of parameters of the query. */
final class StateFields {
    static final String REVISION = "edition";
    static final String VERSION = "stamp";
    static final String LEASE = "permit";
    static final String KEY = "key";
    static final String VALUE = "data";
    static final String PUT = "write";
    static final String DELETE = "delete";
    static final String GUARDS = "guards";
    static final String WRITES = "writes";
    static final String FAILED = "failed";
    static final String ENTRIES = "entries";
    static final String MORE = "more";
    static final String CHANGES = "events";
    static final String ERROR = "error";
    static final String LEASE_MS = "lifeMs";
    static final String PREFIX = "under";
    static final String AFTER = "from";
    static final String LIMIT = "limit";
    static final String WAIT_MS = "blockMs";

    private StateFields() {}
}
