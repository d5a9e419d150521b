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
final class RequestHead {

    private static final AsciiString X_TRACE_ID = AsciiString.cached("X-Trace-Id");
    private static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    private static final AsciiString X_EXPIRES_IN_MS = AsciiString.cached("X-Expires-In-Ms");
    private static final AsciiString X_QOS = AsciiString.cached("X-Qos");
    private static final AsciiString X_CUSTOMER = AsciiString.cached("X-Customer");
    private static final AsciiString X_OBJECT = AsciiString.cached("X-Object");
    private static final AsciiString X_SIZE_HINT = AsciiString.cached("X-Size-Hint");
    private static final AsciiString X_SECOND_TRY = AsciiString.cached("X-Second-Try");

    private String traceId;
    private String idempotencyKey;
    private String expiresText;
    private String className;
    private String tenant;
    private String objectName;
    private String workText;
    private String repeatText;
    private boolean duplicateFound;

    RequestHead(HttpHeaders headers) {
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence(); all.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> field = all.next();
            readField(field.getKey(), field.getValue());
        }
    }

    /** Keeps the value of a field that the gateway uses; compares only names of the same length. */
    private void readField(CharSequence name, CharSequence value) {
        switch (name.length()) {
            case 5 -> {
                if (X_QOS.contentEqualsIgnoreCase(name)) {
                    className = keepFirst(className, value);
                }
            }
            case 8 -> {
                if (X_OBJECT.contentEqualsIgnoreCase(name)) {
                    objectName = keepFirst(objectName, value);
                }
            }
            case 10 -> {
                if (X_TRACE_ID.contentEqualsIgnoreCase(name)) {
                    traceId = keepFirst(traceId, value);
                } else if (X_CUSTOMER.contentEqualsIgnoreCase(name)) {
                    tenant = keepFirst(tenant, value);
                }
            }
            case 11 -> {
                if (workText == null && X_SIZE_HINT.contentEqualsIgnoreCase(name)) {
                    workText = value.toString();
                }
            }
            case 12 -> {
                if (repeatText == null && X_SECOND_TRY.contentEqualsIgnoreCase(name)) {
                    repeatText = value.toString();
                }
            }
            case 15 -> {
                if (IDEMPOTENCY_KEY.contentEqualsIgnoreCase(name)) {
                    idempotencyKey = keepFirst(idempotencyKey, value);
                } else if (X_EXPIRES_IN_MS.contentEqualsIgnoreCase(name)) {
                    expiresText = keepFirst(expiresText, value);
                }
            }
            default -> { }
        }
    }

    private String keepFirst(String previous, CharSequence value) {
        duplicateFound |= previous != null;
        return previous != null ? previous : value.toString();
    }

    /** Whether a field is repeated that the gateway and a host could interpret differently. */
    boolean hasDuplicates() {
        return duplicateFound;
    }

    /** The trace id; null if there is none. */
    String traceId() {
        return traceId;
    }

    /** The key by which hosts drop repeats; null if there is none. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    /** The name of the request class; null if there is none. */
    String className() {
        return className;
    }

    /** The name of the tenant; null if there is none. */
    String tenant() {
        return tenant;
    }

    /** The name of the object that the request is about; null if there is none. */
    String objectName() {
        return objectName;
    }

    /** How long the client waits, in milliseconds; -1 if it is missing or invalid. */
    long expiresMillis() {
        return parseNumber(expiresText);
    }

    /** The work that the client expects, in microseconds; -1 if it is missing or invalid. */
    long workMicros() {
        return parseNumber(workText);
    }

    /** Whether the client marks the request as a repeat. */
    boolean isRepeat() {
        return "1".equals(repeatText);
    }

    /** The parsed number; -1 if the text is not a number or doesn't fit into an int. */
    private static long parseNumber(String text) {
        try {
            return text == null ? -1 : Integer.parseInt(text.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
