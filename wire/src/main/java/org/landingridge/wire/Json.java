package org.landingridge.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Reading and writing of JSON trees, shared by every wire format. Jackson's parser and generator are used without its
 * object mapper, whose setting up (date formats, locales, introspection) takes a quarter of a controller's start.
 */
public final class Json {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(64).build())
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() {}

    /** The tree in {@code body}, or null where it is not JSON. */
    public static JsonNode parse(byte[] body) {
        try (JsonParser parser = FACTORY.createParser(body)) {
            return read(parser);
        } catch (IOException e) {
            return null;
        }
    }

    /** The one tree that the parser gives, or null where there is none or something follows it. */
    public static JsonNode read(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            return null;
        }
        JsonNode tree = tree(parser);
        return parser.nextToken() == null ? tree : null;
    }

    private static JsonNode tree(JsonParser p) throws IOException {
        return switch (p.currentToken()) {
            case START_OBJECT -> {
                ObjectNode n = NODES.objectNode();
                for (String field = p.nextFieldName(); field != null; field = p.nextFieldName()) {
                    p.nextToken();
                    n.set(field, tree(p));
                }
                yield n;
            }
            case START_ARRAY -> {
                ArrayNode n = NODES.arrayNode();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    n.add(tree(p));
                }
                yield n;
            }
            case VALUE_STRING -> NODES.textNode(p.getText());
            case VALUE_NUMBER_INT ->
                switch (p.getNumberType()) {
                    case INT -> NODES.numberNode(p.getIntValue());
                    case LONG -> NODES.numberNode(p.getLongValue());
                    default -> NODES.numberNode(p.getBigIntegerValue());
                };
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(p.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(p, "no JSON value");
        };
    }

    public static byte[] bytes(JsonNode tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, tree);
        } catch (IOException e) {
            throw new UncheckedIOException("a tree made here can always be written", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator g, JsonNode n) throws IOException {
        switch (n.getNodeType()) {
            case OBJECT -> {
                g.writeStartObject();
                for (Map.Entry<String, JsonNode> field : n.properties()) {
                    g.writeFieldName(field.getKey());
                    write(g, field.getValue());
                }
                g.writeEndObject();
            }
            case ARRAY -> {
                g.writeStartArray();
                for (JsonNode element : n) {
                    write(g, element);
                }
                g.writeEndArray();
            }
            case STRING -> g.writeString(n.textValue());
            case BOOLEAN -> g.writeBoolean(n.booleanValue());
            case NUMBER -> {
                if (n.isFloatingPointNumber()) {
                    g.writeNumber(n.doubleValue());
                } else if (n.canConvertToLong()) {
                    g.writeNumber(n.longValue());
                } else {
                    g.writeNumber(n.bigIntegerValue());
                }
            }
            default -> g.writeNull();
        }
    }

    /** The tree as text, for logs. */
    public static String text(JsonNode tree) {
        return new String(bytes(tree), StandardCharsets.UTF_8);
    }

    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** The text of a field, or null where it is missing, null or no text. */
    public static String text(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isTextual() ? value.textValue() : null;
    }

    /** The text at an index of a list, or null. */
    public static String text(JsonNode list, int index) {
        JsonNode value = list.get(index);
        return value != null && value.isTextual() ? value.textValue() : null;
    }

    public static long integer(JsonNode node, String field, long otherwise) {
        JsonNode value = node.get(field);
        return value != null && value.isIntegralNumber() && value.canConvertToLong() ? value.longValue() : otherwise;
    }

    public static double number(JsonNode node, String field, double otherwise) {
        JsonNode value = node.get(field);
        return value != null && value.isNumber() ? value.doubleValue() : otherwise;
    }

    public static boolean flag(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isBoolean() && value.booleanValue();
    }
}
