package mastdrift.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;

/** What a gateway reads of a request's head, picked out in one pass: to look each field up costs a hash of its name. Of fields that
    come more than once the first counts; {@code doubled} tells of those that must not. */
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

    /** Two of a field that would mean one thing here and may mean another at a host. */
    boolean doubled() {
        return doubled;
    }

    /** The id, null where there is none. */
    String trace() {
        return trace;
    }

    /** By which hosts drop repeats, null where there is none. */
    String key() {
        return key;
    }

    /** The class, null where there is none. */
    String qos() {
        return qos;
    }

    /** The tenant, null where there is none. */
    String customer() {
        return customer;
    }

    /** What the request is about, null where there is nothing. */
    String object() {
        return object;
    }

    /** Milliseconds for which the client waits; -1 for what is none. */
    long expires() {
        return number(expires);
    }

    /** Microseconds of work that the client expects; -1 for what is none. */
    long size() {
        return number(size);
    }

    /** Whether the client says that it asks once more. */
    boolean again() {
        return "1".equals(again);
    }

    /** Of what is no number, or more than fits: -1. */
    private static long number(String text) {
        try {
            return text == null ? -1 : Integer.parseInt(text.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
