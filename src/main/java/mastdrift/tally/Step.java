package mastdrift.tally;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One step in the life of a request, as a line of its gateway's log.
    @param at microseconds of Unix time
    @param id the request's trace id, as the client gave it
    @param kind what happened
    @param attempt the number of the attempt from 0, or -1 where it is of the request as a whole
    @param host the host's uid, or empty
    @param word by kind: the class and its repeat rule, the host's state, how it ended
    @param span microseconds, by kind: the time left, the time since the host's drain or start, or 0 */
public record Step(long at, String id, Kind kind, int attempt, String host, String word, long span) {

    /** Begins its line, behind whatever the log puts ahead. */
    public static final String MARK = "step at=";

    /** What happened. */
    public enum Kind {
        /** The gateway took it; the word is tenant:class:REPEAT, where there are tenants, the span the time left. */
        TAKEN,
        /** An attempt was handed to its host's connections; the word is the host's state, the span the time since its drain was told,
            or since it started where it is cold. */
        SENT,
        /** A new connection for it stands, and its first byte leaves: word and span as for SENT. */
        OPENED,
        /** The attempt ended; the word is its outcome. */
        ENDED,
        /** The final answer; the word says which and why, the span is the time since it was taken. */
        ANSWERED
    }

    /** The state of a host that has started less than a warm-up ago. */
    public static final String COLD = "cold";
    /** That of one that leaves or is gone. */
    public static final String LEAVING = "leaving";
    /** That of any other. */
    public static final String WARM = "warm";

    /** Its line: {@code step at=US id=ID kind=KIND n=ATTEMPT host=UID of=WORD us=SPAN}. */
    public String line() {
        return MARK + at + " id=" + encoded(id) + " kind=" + kind.name().toLowerCase(Locale.ROOT) + " n=" + attempt + " host=" + encoded(host)
                + " of=" + encoded(word) + " us=" + span;
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Reads a line as {@link #line} writes it, whatever is ahead of its mark. Throws IllegalArgumentException that says what was
        expected and what was found. */
    public static Step parse(String line) {
        int mark = line.indexOf(MARK);
        if (mark < 0) {
            throw new IllegalArgumentException("expected " + MARK + ", found none");
        }
        String[] names = {"at", "id", "kind", "n", "host", "of", "us"};
        String[] words = line.substring(mark + MARK.indexOf("at=")).strip().split(" ");
        if (words.length != names.length) {
            throw new IllegalArgumentException("expected " + names.length + " words from at= to us=, found " + words.length);
        }
        for (int i = 0; i < names.length; i++) {
            if (!words[i].startsWith(names[i] + "=")) {
                throw new IllegalArgumentException("expected " + names[i] + "=, found " + words[i]);
            }
            words[i] = words[i].substring(names[i].length() + 1);
        }
        Kind kind;
        try {
            kind = Kind.valueOf(words[2].toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("kind: expected taken, sent, opened, ended or answered, found " + words[2], e);
        }
        return new Step(number("at", words[0]), decoded(words[1]), kind, (int) number("n", words[3]), decoded(words[4]), decoded(words[5]),
                number("us", words[6]));
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static long number(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + ": expected a whole number, found " + text, e);
        }
    }
}
