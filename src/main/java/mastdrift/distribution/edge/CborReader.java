package mastdrift.distribution.edge;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/**
 * Streaming reader of nested CBOR arrays (RFC 8949). The caller reads the fields in the order in which they were
 * written; no tree is built, since a snapshot has some hundred thousand resources. Unexpected input throws an
 * IllegalArgumentException that names the path of the field, what was expected and what was found. The total number of
 * list items is bounded.
 */
final class CborReader {

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int MAX_DEPTH = 8;
    private static final int MAX_SHOWN_CHARS = 40;

    private final JsonParser parser;
    private final int maxItems;
    private final String[] fieldNames = new String[MAX_DEPTH];
    // index of the current list item, counted from 1; -1 in an array of fields
    private final int[] itemIndices = new int[MAX_DEPTH];
    private int depth;
    private int itemCount;
    private JsonToken lookahead;

    /**
     * Reads from {@code offset} to the end of {@code bytes}; more than {@code maxItems} list items in total are
     * refused.
     */
    CborReader(byte[] bytes, int offset, int maxItems) {
        this.maxItems = maxItems;
        try {
            parser = FACTORY.createParser(bytes, offset, bytes.length - offset);
        } catch (IOException e) {
            throw new IllegalArgumentException("expected CBOR, found " + e.getMessage(), e);
        }
    }

    private JsonToken nextToken(String field) {
        if (lookahead != null) {
            JsonToken token = lookahead;
            lookahead = null;
            return token;
        }
        try {
            return parser.nextToken();
        } catch (IOException | RuntimeException e) {
            throw malformed(field, e);
        }
    }

    private IllegalArgumentException malformed(String field, Exception e) {
        return new IllegalArgumentException(path(field) + ": expected CBOR, found " + e.getClass().getSimpleName(), e);
    }

    /** Enters an array of fields, which {@link #exitArray} leaves. */
    void enterArray(String field) {
        enter(field, -1);
    }

    /** Enters a list, whose items {@link #nextItem} iterates over. */
    void enterList(String field) {
        enter(field, 0);
    }

    private void enter(String field, int index) {
        JsonToken token = nextToken(field);
        if (token != JsonToken.START_ARRAY) {
            throw unexpected("an array", field, token);
        }
        fieldNames[depth] = field;
        itemIndices[depth++] = index;
    }

    /** Leaves an array of fields. */
    void exitArray() {
        JsonToken token = nextToken("end");
        if (token != JsonToken.END_ARRAY) {
            throw unexpected("the end of the array", "end", token);
        }
        depth--;
    }

    /**
     * Advances to the next item of the current list; returns false and leaves the list at its end. Refuses lists of
     * more than {@code max} items.
     */
    boolean nextItem(int max) {
        lookahead = nextToken("item");
        if (lookahead == JsonToken.END_ARRAY) {
            lookahead = null;
            depth--;
            return false;
        }
        if (++itemIndices[depth - 1] > max) {
            throw new IllegalArgumentException(path("items") + ": expected at most " + max + ", found more");
        }
        if (++itemCount > maxItems) {
            throw new IllegalArgumentException(path("items") + ": expected at most " + maxItems + " in all, found more");
        }
        return true;
    }

    long readLong(String field, long min, long max) {
        JsonToken token = nextToken(field);
        try {
            if (token == JsonToken.VALUE_NUMBER_INT && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
                long value = parser.getLongValue();
                if (value >= min && value <= max) {
                    return value;
                }
            }
        } catch (IOException | RuntimeException e) {
            throw malformed(field, e);
        }
        throw unexpected("a whole number from " + min + " to " + max, field, token);
    }

    boolean readBoolean(String field) {
        JsonToken token = nextToken(field);
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return token == JsonToken.VALUE_TRUE;
        }
        throw unexpected("true or false", field, token);
    }

    /** Consumes the next value and returns true if it is null; otherwise leaves it to be read and returns false. */
    boolean skipNull(String field) {
        lookahead = nextToken(field);
        if (lookahead == JsonToken.VALUE_NULL) {
            lookahead = null;
            return true;
        }
        return false;
    }

    /** Whether the next value is an integer; it is not consumed. */
    boolean isIntegerNext(String field) {
        lookahead = nextToken(field);
        return lookahead == JsonToken.VALUE_NUMBER_INT;
    }

    String readString(String field, int minChars, int maxChars) {
        JsonToken token = nextToken(field);
        try {
            if (token == JsonToken.VALUE_STRING) {
                String text = parser.getText();
                if (text.length() >= minChars && text.length() <= maxChars) {
                    return text;
                }
            }
        } catch (IOException | RuntimeException e) {
            throw malformed(field, e);
        }
        throw unexpected("a text of " + minChars + " to " + maxChars + " characters", field, token);
    }

    byte[] readBytes(String field, int maxBytes) {
        JsonToken token = nextToken(field);
        int foundBytes = -1;
        try {
            if (token == JsonToken.VALUE_EMBEDDED_OBJECT && parser.getEmbeddedObject() instanceof byte[] bytes) {
                if (bytes.length <= maxBytes) {
                    return bytes;
                }
                foundBytes = bytes.length;
            }
        } catch (IOException | RuntimeException e) {
            throw malformed(field, e);
        }
        if (foundBytes >= 0) {
            throw new IllegalArgumentException(path(field) + ": expected at most " + maxBytes + " bytes, found " + foundBytes);
        }
        throw unexpected("at most " + maxBytes + " bytes", field, token);
    }

    /** Refuses any data after the message. */
    void expectEnd() {
        JsonToken token = nextToken("end");
        if (token != null) {
            throw unexpected("nothing more", "end", token);
        }
    }

    private IllegalArgumentException unexpected(String expected, String field, JsonToken token) {
        String found = "nothing";
        if (token != null) {
            try {
                found = token.isScalarValue() && token != JsonToken.VALUE_EMBEDDED_OBJECT ? parser.getText() : token.toString();
            } catch (IOException | RuntimeException e) {
                found = token.toString();
            }
        }
        return new IllegalArgumentException(path(field) + ": expected " + expected + ", found " + (found.length() > MAX_SHOWN_CHARS ? found.substring(0, MAX_SHOWN_CHARS) + "..." : found));
    }

    /** Path of a field, such as {@code deltas[2].upserts[7].name}; items are counted from 0. */
    private String path(String field) {
        StringBuilder path = new StringBuilder();
        for (int i = 0; i < depth; i++) {
            path.append(fieldNames[i]);
            if (itemIndices[i] > 0) {
                path.append('[').append(itemIndices[i] - 1).append(']');
            }
            path.append('.');
        }
        return path.append(field).toString();
    }
}
