package mastdrift.distribution.edge;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/**
 * Reads nested arrays of CBOR (RFC 8949) field by field, as whoever knows their order asks; no tree is built, since a snapshot has some hundred thousand resources. What isn't
 * as asked for gives an IllegalArgumentException that names the place, what was expected and what was found. Bounded in all by how many items it reads.
 */
final class CborReader {

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int DEEPEST = 8;
    private static final int SHOWN_MOST = 40;

    private final JsonParser parser;
    private final int itemsMost;
    private final String[] names = new String[DEEPEST];
    private final int[] indices = new int[DEEPEST];  // -1 in an array of fields
    private int depth;
    private int items;
    private JsonToken ahead;

    /** Of some bytes, which hold at most so many items of lists. */
    CborReader(byte[] bytes, int from, int itemsMost) {
        this.itemsMost = itemsMost;
        try {
            parser = FACTORY.createParser(bytes, from, bytes.length - from);
        } catch (IOException e) {
            throw new IllegalArgumentException("expected CBOR, found " + e.getMessage(), e);
        }
    }

    private JsonToken token(String what) {
        if (ahead != null) {
            JsonToken token = ahead;
            ahead = null;
            return token;
        }
        try {
            return parser.nextToken();
        } catch (IOException | RuntimeException e) {
            throw broken(what, e);
        }
    }

    private IllegalArgumentException broken(String what, Exception e) {
        return new IllegalArgumentException(place(what) + ": expected CBOR, found " + e.getClass().getSimpleName(), e);
    }

    /** Into an array of fields, which {@link #close} leaves. */
    void open(String what) {
        enter(what, -1);
    }

    /** Into a list, whose items {@link #next} goes through. */
    void list(String what) {
        enter(what, 0);
    }

    private void enter(String what, int index) {
        JsonToken token = token(what);
        if (token != JsonToken.START_ARRAY) {
            throw expected("an array", what, token);
        }
        names[depth] = what;
        indices[depth++] = index;
    }

    /** Out of an array of fields. */
    void close() {
        JsonToken token = token("end");
        if (token != JsonToken.END_ARRAY) {
            throw expected("the end of the array", "end", token);
        }
        depth--;
    }

    /** Whether the list that it is in has another item; leaves the list where it hasn't. Refuses more of them than so many. */
    boolean next(int most) {
        ahead = token("item");
        if (ahead == JsonToken.END_ARRAY) {
            ahead = null;
            depth--;
            return false;
        }
        if (++indices[depth - 1] > most) {
            throw new IllegalArgumentException(place("items") + ": expected at most " + most + ", found more");
        }
        if (++items > itemsMost) {
            throw new IllegalArgumentException(place("items") + ": expected at most " + itemsMost + " in all, found more");
        }
        return true;
    }

    long whole(String what, long least, long most) {
        JsonToken token = token(what);
        try {
            if (token == JsonToken.VALUE_NUMBER_INT && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
                long value = parser.getLongValue();
                if (value >= least && value <= most) {
                    return value;
                }
            }
        } catch (IOException | RuntimeException e) {
            throw broken(what, e);
        }
        throw expected("a whole number from " + least + " to " + most, what, token);
    }

    boolean flag(String what) {
        JsonToken token = token(what);
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return token == JsonToken.VALUE_TRUE;
        }
        throw expected("true or false", what, token);
    }

    /** Whether what comes is null, which is then read. */
    boolean absent(String what) {
        ahead = token(what);
        if (ahead == JsonToken.VALUE_NULL) {
            ahead = null;
            return true;
        }
        return false;
    }

    /** Whether what comes is a whole number; it is still to be read. */
    boolean wholeNext(String what) {
        ahead = token(what);
        return ahead == JsonToken.VALUE_NUMBER_INT;
    }

    String text(String what, int least, int most) {
        JsonToken token = token(what);
        try {
            if (token == JsonToken.VALUE_STRING) {
                String text = parser.getText();
                if (text.length() >= least && text.length() <= most) {
                    return text;
                }
            }
        } catch (IOException | RuntimeException e) {
            throw broken(what, e);
        }
        throw expected("a text of " + least + " to " + most + " characters", what, token);
    }

    byte[] bytes(String what, int most) {
        JsonToken token = token(what);
        int found = -1;
        try {
            if (token == JsonToken.VALUE_EMBEDDED_OBJECT && parser.getEmbeddedObject() instanceof byte[] bytes) {
                if (bytes.length <= most) {
                    return bytes;
                }
                found = bytes.length;
            }
        } catch (IOException | RuntimeException e) {
            throw broken(what, e);
        }
        if (found >= 0) {
            throw new IllegalArgumentException(place(what) + ": expected at most " + most + " bytes, found " + found);
        }
        throw expected("at most " + most + " bytes", what, token);
    }

    /** Refuses whatever comes behind. */
    void end() {
        JsonToken token = token("end");
        if (token != null) {
            throw expected("nothing more", "end", token);
        }
    }

    private IllegalArgumentException expected(String expected, String what, JsonToken token) {
        String found = "nothing";
        if (token != null) {
            try {
                found = token.isScalarValue() && token != JsonToken.VALUE_EMBEDDED_OBJECT ? parser.getText() : token.toString();
            } catch (IOException | RuntimeException e) {
                found = token.toString();
            }
        }
        return new IllegalArgumentException(place(what) + ": expected " + expected + ", found " + (found.length() > SHOWN_MOST ? found.substring(0, SHOWN_MOST) + "..." : found));
    }

    /** Such as {@code deltas[2].upserts[7].name}; items are counted from 0. */
    private String place(String what) {
        StringBuilder place = new StringBuilder();
        for (int i = 0; i < depth; i++) {
            place.append(names[i]);
            if (indices[i] > 0) {
                place.append('[').append(indices[i] - 1).append(']');
            }
            place.append('.');
        }
        return place.append(what).toString();
    }
}
