package org.landingridge.controller.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * One table of a settings file, which knows where it stands in it: every fault names the file and the whole field.
 *
 * @param path its name and a dot, as in {@code cluster.state.}; empty for the root
 */
record SettingsTable(String file, String path, JsonNode node) {
    InvalidSettingsException invalid(String field, String expected) {
        return new InvalidSettingsException(file, path + field, expected);
    }

    /** A table that has to be there. */
    SettingsTable table(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isObject()) {
            throw invalid(field, "a table");
        }
        return at(field, child);
    }

    /** A table that may be missing, or anything else: then it has no fields. */
    SettingsTable tableOrNone(String field) {
        return at(field, node.path(field));
    }

    boolean isTable() {
        return node.isObject();
    }

    /** The elements of a list; none where it is missing. */
    List<SettingsTable> list(String field) throws InvalidSettingsException {
        JsonNode list = node.path(field);
        if (!list.isMissingNode() && !list.isArray()) {
            throw new InvalidSettingsException(file, field, "a list");
        }
        List<SettingsTable> elements = new ArrayList<>();
        for (JsonNode element : list) {
            elements.add(at(field, element));
        }
        return elements;
    }

    private SettingsTable at(String field, JsonNode child) {
        return new SettingsTable(file, path + field + '.', child);
    }

    /** A text that has to be there and may not be blank. */
    String text(String field) throws InvalidSettingsException {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual() || value.textValue().isBlank()) {
            throw invalid(field, "a text");
        }
        return value.textValue();
    }

    /** A text that may be missing. */
    String textOr(String field, String otherwise) {
        return node.path(field).asText(otherwise);
    }

    /** A number above 0 that has to be there. */
    double positive(String field) throws InvalidSettingsException {
        JsonNode value = node.get(field);
        if (!isNumberFromZero(value) || value.doubleValue() == 0) {
            throw invalid(field, "a number above 0");
        }
        return value.doubleValue();
    }

    /** A number, 0 or more, that may be missing. */
    double numberOr(String field, double otherwise) throws InvalidSettingsException {
        JsonNode value = node.get(field);
        if (value == null) {
            return otherwise;
        }
        if (!isNumberFromZero(value)) {
            throw invalid(field, "a number, 0 or more");
        }
        return value.doubleValue();
    }

    private static boolean isNumberFromZero(JsonNode value) {
        return value != null && value.isNumber() && value.doubleValue() >= 0;
    }

    /** An address that has to be there. */
    InetSocketAddress address(String field) throws InvalidSettingsException {
        String text = text(field);
        try {
            HostAndPort address = HostAndPort.fromString(text);
            if (address.hasPort() && !address.getHost().isEmpty()) {
                return new InetSocketAddress(address.getHost(), address.getPort());
            }
        } catch (IllegalArgumentException expected) {
            throw invalidAddress(field);
        }
        throw invalidAddress(field);
    }

    private InvalidSettingsException invalidAddress(String field) {
        return invalid(field, "an address such as 10.0.0.1:8080");
    }

    /** An address that has to be there, as it stands in the file. */
    String addressText(String field) throws InvalidSettingsException {
        address(field);
        return text(field);
    }
}
