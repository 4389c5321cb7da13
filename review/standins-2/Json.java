import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON: objects are maps, arrays are lists, integers are Long, other numbers Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.blanks();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("text after the value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long integer(Object value, long otherwise) {
        return value instanceof Number ? ((Number) value).longValue() : otherwise;
    }

    static double number(Object value, double otherwise) {
        return value instanceof Number ? ((Number) value).doubleValue() : otherwise;
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private char next() {
        if (at >= text.length()) {
            throw new IllegalArgumentException("the text ends early");
        }
        return text.charAt(at);
    }

    private Object value() {
        blanks();
        char c = next();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blanks();
            while (next() != '}') {
                blanks();
                String key = string();
                blanks();
                expect(':');
                map.put(key, value());
                blanks();
                if (next() == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blanks();
            while (next() != ']') {
                list.add(value());
                blanks();
                if (next() == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        }
    }

    private void expect(char c) {
        if (next() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (next() != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escape = text.charAt(at++);
            if (escape == 'u') {
                out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
            } else {
                int known = "nrtbf".indexOf(escape);
                out.append(known < 0 ? escape : "\n\r\t\b\f".charAt(known));
            }
        }
        at++;
        return out.toString();
    }

    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            String separator = "{";
            for (Map.Entry<?, ?> field : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                quote(field.getKey().toString(), out);
                out.append(':');
                write(field.getValue(), out);
                separator = ",";
            }
            out.append(separator.equals("{") ? "{}" : "}");
        } else if (value instanceof Iterable) {
            String separator = "[";
            for (Object element : (Iterable<?>) value) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(separator.equals("[") ? "[]" : "]");
        } else if (value instanceof String) {
            quote((String) value, out);
        } else {
            out.append(value);
        }
    }

    private static void quote(String string, StringBuilder out) {
        out.append('"');
        for (char c : string.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
