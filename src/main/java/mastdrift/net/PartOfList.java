package mastdrift.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.engine.Member;

/** Reads of a list that has begun and isn't whole what is certain already: its version, and an entry that says that a host drains or is gone. */
final class PartOfList {

    // Ahead of the entries; where it stands behind them it isn't known yet.
    private static final Pattern VERSION = Pattern.compile("^\\s*\\{[^\\[{]*\"rev\"\\s*:\\s*(\\d{1,18})\\s*[,}]");
    private static final Pattern OBJECT = Pattern.compile("^\\s*\\{\\s*(\"|$)");
    static final int HEAD_MOST = 256;
    private static final String LEAVING = "\"terminat";  // of both states

    private PartOfList() { }

    /** Whether this may be the begin of a list that is no older than a version: one whose version isn't told yet may be. */
    static boolean mayBeNews(byte[] part, long inForce) {
        Long version = version(part);
        return version == null ? OBJECT.matcher(head(part)).find() : version >= inForce;
    }

    private static String head(byte[] part) {
        return new String(part, 0, Math.min(part.length, HEAD_MOST), StandardCharsets.ISO_8859_1);
    }

    /** The version of the list that begins there; null where it isn't told yet. */
    static Long version(byte[] part) {
        Matcher head = VERSION.matcher(head(part));
        return head.find() ? Long.valueOf(head.group(1)) : null;
    }

    /** The entry with which the part ends, where it surely says that a host drains or is gone; else null. */
    static Member leaving(byte[] part) {
        String text = new String(part, StandardCharsets.UTF_8);
        String entry = text.substring(Math.max(0, text.lastIndexOf('{')));
        if (!entry.contains(LEAVING)) {
            return null;
        }
        try {
            return JSON.std.anyFrom(entry) instanceof Map<?, ?> target ? HostList.leaving(target) : null;
        } catch (IOException e) {
            return null;  // a brace within a string, say: the whole list will tell
        }
    }
}
