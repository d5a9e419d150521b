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
final class PartialHostList {

    // Matches a version ahead of the entries; in a list that has it after them, it is unknown until then.
    private static final Pattern VERSION_PATTERN = Pattern.compile("^\\s*\\{[^\\[{]*\"rev\"\\s*:\\s*(\\d{1,18})\\s*[,}]");
    private static final Pattern OBJECT_START_PATTERN = Pattern.compile("^\\s*\\{\\s*(\"|$)");
    /** The version has to be found within the first bytes, before the entries. */
    static final int MAX_HEAD_BYTES = 256;
    private static final String LEAVING_STATE_PREFIX = "\"terminat";  // of terminating and terminated

    private PartialHostList() { }

    /**
     * Whether this may be the start of a list that is at least as new as {@code currentVersion}: also true if its
     * version has not arrived yet.
     */
    static boolean mayBeNewer(byte[] part, long currentVersion) {
        Long version = parseVersion(part);
        return version == null ? OBJECT_START_PATTERN.matcher(head(part)).find() : version >= currentVersion;
    }

    private static String head(byte[] part) {
        return new String(part, 0, Math.min(part.length, MAX_HEAD_BYTES), StandardCharsets.ISO_8859_1);
    }

    /** The version of the list that starts here; null if it has not arrived yet. */
    static Long parseVersion(byte[] part) {
        Matcher matcher = VERSION_PATTERN.matcher(head(part));
        return matcher.find() ? Long.valueOf(matcher.group(1)) : null;
    }

    /** The entry with which the part ends, if it certainly reports a host as draining or removed; else null. */
    static Member parseLeavingEntry(byte[] part) {
        String text = new String(part, StandardCharsets.UTF_8);
        String entry = text.substring(Math.max(0, text.lastIndexOf('{')));
        if (!entry.contains(LEAVING_STATE_PREFIX)) {
            return null;
        }
        try {
            return JSON.std.anyFrom(entry) instanceof Map<?, ?> target ? HostList.parseIfLeaving(target) : null;
        } catch (IOException e) {
            return null;  // for example, a brace within a string; the entry is read again with the complete list
        }
    }
}
