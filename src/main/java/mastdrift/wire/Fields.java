package mastdrift.wire;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** The space-separated parts of one line, read in order; a trailing part left out counts as absent. */
final class Fields {

    private final String line;
    private int at;

    Fields(String line) {
        this.line = line;
    }

    String line() {
        return line;
    }

    /** The next part, or null where it is absent. */
    String optional() {
        if (at > line.length()) {
            return null;
        }
        int end = line.indexOf(' ', at);
        if (end < 0) {
            end = line.length();
        }
        String part = line.substring(at, end);
        at = end + 1;
        return part.isEmpty() || part.equals("-") ? null : part;
    }

    String text(String name) {
        String part = optional();
        if (part == null) {
            throw expected(name);
        }
        return part;
    }

    long number(String name) {
        return parse(text(name), name);
    }

    long number(String name, long absent) {
        String part = optional();
        return part == null ? absent : parse(part, name);
    }

    Long numberOrNull(String name) {
        String part = optional();
        return part == null ? null : Long.valueOf(parse(part, name));
    }

    /** Hex digits; an absent part holds no bytes. */
    byte[] bytes(String name) {
        String part = optional();
        try {
            return part == null ? new byte[0] : HexFormat.of().parseHex(part);
        } catch (IllegalArgumentException e) {
            throw expected(name + ", pairs of hex digits");
        }
    }

    static String hex(byte[] bytes) {
        return bytes.length == 0 ? "-" : HexFormat.of().formatHex(bytes);
    }

    double real(String name, double absent) {
        String part = optional();
        return part == null ? absent : parseReal(part, name);
    }

    boolean flag(String name) {
        String part = text(name);
        if (!part.equals("0") && !part.equals("1")) {
            throw expected(name + ", 0 or 1");
        }
        return part.equals("1");
    }

    /** All parts that remain. */
    List<String> rest() {
        List<String> parts = new ArrayList<>();
        for (String part = optional(); part != null; part = optional()) {
            parts.add(part);
        }
        return parts;
    }

    MalformedLineException expected(String what) {
        return new MalformedLineException(line, what);
    }

    double parseReal(String part, String name) {
        try {
            double value = Double.parseDouble(part);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw expected(name + ", a number");
        }
        throw expected(name + ", a finite number");
    }

    private long parse(String part, String name) {
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw expected(name + ", a whole number");
        }
    }
}
