package mastdrift.tally;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One step in the life of a request, written as a line of its gateway's log.
 *
 * @param unixMicros microseconds of Unix time
 * @param traceId the request's trace id, as the client gave it
 * @param kind what happened
 * @param attempt number of the attempt from 0, or -1 if the step is about the request as a whole
 * @param host uid of the host, or empty
 * @param detail depends on the kind: class and repeat rule, state of the host, or how it ended
 * @param spanMicros depends on the kind: time left, time since the host's drain or start, time since the request was
 * accepted, or 0
 */
public record RequestStep(long unixMicros, String traceId, Kind kind, int attempt, String host, String detail,
        long spanMicros) {

    /** Start of the step in a log line; the log may put a prefix before it. */
    public static final String LINE_MARKER = "step at=";

    /** What happened. */
    public enum Kind {
        /**
         * The gateway accepted the request; the detail is tenant:class:REPEAT (no tenant if there are none), the span
         * the time left.
         */
        TAKEN,
        /**
         * An attempt was handed to a connection of its host; the detail is the host's state, the span is the time since
         * its drain was announced, or since its start if it is cold.
         */
        SENT,
        /** A new connection for the attempt is open, and its first byte is sent; detail and span as for SENT. */
        OPENED,
        /** The attempt ended; the detail is its outcome. */
        ENDED,
        /** The final answer; the detail says which and why, the span is the time since the request was accepted. */
        ANSWERED
    }

    /** State of a host that started less than the warm-up time ago. */
    public static final String STATE_COLD = "cold";
    /** State of a host that is draining or gone. */
    public static final String STATE_LEAVING = "leaving";
    /** State of any other host. */
    public static final String STATE_WARM = "warm";

    /** The log line {@code step at=US id=ID kind=KIND n=ATTEMPT host=UID of=WORD us=SPAN}. */
    public String formatLine() {
        return LINE_MARKER + unixMicros + " id=" + encode(traceId) + " kind=" + kind.name().toLowerCase(Locale.ROOT)
                + " n=" + attempt + " host=" + encode(host)
                + " of=" + encode(detail) + " us=" + spanMicros;
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Parses a line written by {@link #formatLine}, with any prefix before the marker.
     *
     * @throws IllegalArgumentException saying what was expected and what was found
     */
    public static RequestStep parse(String line) {
        int markerAt = line.indexOf(LINE_MARKER);
        if (markerAt < 0) {
            throw new IllegalArgumentException("expected " + LINE_MARKER + ", found none");
        }
        String[] names = {"at", "id", "kind", "n", "host", "of", "us"};
        String[] fields = line.substring(markerAt + LINE_MARKER.indexOf("at=")).strip().split(" ");
        if (fields.length != names.length) {
            throw new IllegalArgumentException("expected " + names.length + " words from at= to us=, found "
                    + fields.length);
        }
        for (int i = 0; i < names.length; i++) {
            if (!fields[i].startsWith(names[i] + "=")) {
                throw new IllegalArgumentException("expected " + names[i] + "=, found " + fields[i]);
            }
            fields[i] = fields[i].substring(names[i].length() + 1);
        }
        Kind kind;
        try {
            kind = Kind.valueOf(fields[2].toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("kind: expected taken, sent, opened, ended or answered, found "
                    + fields[2], e);
        }
        return new RequestStep(parseNumber("at", fields[0]), decode(fields[1]), kind, (int) parseNumber("n", fields[3]),
                decode(fields[4]), decode(fields[5]),
                parseNumber("us", fields[6]));
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static long parseNumber(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + ": expected a whole number, found " + text, e);
        }
    }
}
