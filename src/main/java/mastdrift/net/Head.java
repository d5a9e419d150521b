package mastdrift.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;

/**
 * The header fields of a request that the gateway uses, extracted in one pass over the head, since looking up each
 * field separately would hash its name every time. If a field is repeated its first value is used; {@link
 * #hasDuplicates} reports repeats of fields that must not be repeated.
 */
final class Head {

    private static final AsciiString TRACE = AsciiString.cached("X-Trace-Id");
    private static final AsciiString KEY = AsciiString.cached("Idempotency-Key");
    private static final AsciiString EXPIRES = AsciiString.cached("X-Expires-In-Ms");
    private static final AsciiString QOS = AsciiString.cached("X-Qos");
    private static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
    private static final AsciiString OBJECT = AsciiString.cached("X-Object");
    private static final AsciiString SIZE = AsciiString.cached("X-Size-Hint");
    private static final AsciiString AGAIN = AsciiString.cached("X-Second-Try");

    private String trace;
    private String key;
    private String expires;
    private String qos;
    private String customer;
    private String object;
    private String size;
    private String again;
    private boolean doubled;

    Head(HttpHeaders headers) {
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence(); all.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> field = all.next();
            read(field.getKey(), field.getValue());
        }
    }

    /** Keeps the value of a field that the gateway uses; compares only names of the same length. */
    private void read(CharSequence name, CharSequence value) {
        switch (name.length()) {
            case 5 -> {
                if (QOS.contentEqualsIgnoreCase(name)) {
                    qos = once(qos, value);
                }
            }
            case 8 -> {
                if (OBJECT.contentEqualsIgnoreCase(name)) {
                    object = once(object, value);
                }
            }
            case 10 -> {
                if (TRACE.contentEqualsIgnoreCase(name)) {
                    trace = once(trace, value);
                } else if (CUSTOMER.contentEqualsIgnoreCase(name)) {
                    customer = once(customer, value);
                }
            }
            case 11 -> {
                if (size == null && SIZE.contentEqualsIgnoreCase(name)) {
                    size = value.toString();
                }
            }
            case 12 -> {
                if (again == null && AGAIN.contentEqualsIgnoreCase(name)) {
                    again = value.toString();
                }
            }
            case 15 -> {
                if (KEY.contentEqualsIgnoreCase(name)) {
                    key = once(key, value);
                } else if (EXPIRES.contentEqualsIgnoreCase(name)) {
                    expires = once(expires, value);
                }
            }
            default -> { }
        }
    }

    private String once(String before, CharSequence value) {
        doubled |= before != null;
        return before != null ? before : value.toString();
    }

    /** Whether a field is repeated that the gateway and a host could interpret differently. */
    boolean doubled() {
        return doubled;
    }

    /** The trace id; null if there is none. */
    String trace() {
        return trace;
    }

    /** The key by which hosts drop repeats; null if there is none. */
    String key() {
        return key;
    }

    /** The name of the request class; null if there is none. */
    String qos() {
        return qos;
    }

    /** The name of the tenant; null if there is none. */
    String customer() {
        return customer;
    }

    /** The name of the object that the request is about; null if there is none. */
    String object() {
        return object;
    }

    /** How long the client waits, in milliseconds; -1 if it is missing or invalid. */
    long expires() {
        return number(expires);
    }

    /** The work that the client expects, in microseconds; -1 if it is missing or invalid. */
    long size() {
        return number(size);
    }

    /** Whether the client marks the request as a repeat. */
    boolean again() {
        return "1".equals(again);
    }

    /** The parsed number; -1 if the text is not a number or doesn't fit into an int. */
    private static long number(String text) {
        try {
            return text == null ? -1 : Integer.parseInt(text.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
