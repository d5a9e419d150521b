package mastdrift.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.engine.Member;

/**
 * Reads an incomplete list for what is certain already: its version, and entries that report a host as draining or
 * removed.
 */
final class PartOfList {

    // Matches a version ahead of the entries; in a list that has it after them, it is unknown until then.
    private static final Pattern VERSION = Pattern.compile("^\\s*\\{[^\\[{]*\"rev\"\\s*:\\s*(\\d{1,18})\\s*[,}]");
    private static final Pattern OBJECT = Pattern.compile("^\\s*\\{\\s*(\"|$)");
    /** The version has to be found within the first bytes, before the entries. */
    static final int HEAD_MOST = 256;
    private static final String LEAVING = "\"terminat";  // prefix of both states, terminating and terminated

    private PartOfList() { }

    /**
     * Whether this may be the start of a list that is at least as new as {@code currentVersion}: also true if its
     * version has not arrived yet.
     */
    static boolean mayBeNews(byte[] part, long inForce) {
        Long version = version(part);
        return version == null ? OBJECT.matcher(head(part)).find() : version >= inForce;
    }

    private static String head(byte[] part) {
        return new String(part, 0, Math.min(part.length, HEAD_MOST), StandardCharsets.ISO_8859_1);
    }

    /** The version of the list that starts here; null if it has not arrived yet. */
    static Long version(byte[] part) {
        Matcher head = VERSION.matcher(head(part));
        return head.find() ? Long.valueOf(head.group(1)) : null;
    }

    /** The entry with which the part ends, if it certainly reports a host as draining or removed; else null. */
    static Member leaving(byte[] part) {
        String text = new String(part, StandardCharsets.UTF_8);
        String entry = text.substring(Math.max(0, text.lastIndexOf('{')));
        if (!entry.contains(LEAVING)) {
            return null;
        }
        try {
            return JSON.std.anyFrom(entry) instanceof Map<?, ?> target ? HostList.leaving(target) : null;
        } catch (IOException e) {
            return null;  // for example, a brace within a string; the entry is read again with the complete list
        }
    }
}
