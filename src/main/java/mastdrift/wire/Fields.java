package mastdrift.wire;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The fields of one line, separated by spaces and read in order. An empty field, a {@code -}, or one missing at the end
 * counts as absent.
 */
final class Fields {

    private final String line;
    private int position;

    Fields(String line) {
        this.line = line;
    }

    String line() {
        return line;
    }

    /** The next field, or null if it is absent. */
    String optional() {
        if (position > line.length()) {
            return null;
        }
        int end = line.indexOf(' ', position);
        if (end < 0) {
            end = line.length();
        }
        String part = line.substring(position, end);
        position = end + 1;
        return part.isEmpty() || part.equals("-") ? null : part;
    }

    String text(String description) {
        String part = optional();
        if (part == null) {
            throw expected(description);
        }
        return part;
    }

    long number(String description) {
        return parseLong(text(description), description);
    }

    long number(String description, long defaultValue) {
        String part = optional();
        return part == null ? defaultValue : parseLong(part, description);
    }

    Long numberOrNull(String description) {
        String part = optional();
        return part == null ? null : Long.valueOf(parseLong(part, description));
    }

    /** Reads a field of hex digits; an absent one gives no bytes. */
    byte[] bytes(String description) {
        String part = optional();
        try {
            return part == null ? new byte[0] : HexFormat.of().parseHex(part);
        } catch (IllegalArgumentException e) {
            throw expected(description + ", pairs of hex digits");
        }
    }

    static String hex(byte[] bytes) {
        return bytes.length == 0 ? "-" : HexFormat.of().formatHex(bytes);
    }

    double decimal(String description, double defaultValue) {
        String part = optional();
        return part == null ? defaultValue : parseDouble(part, description);
    }

    boolean flag(String description) {
        String part = text(description);
        if (!part.equals("0") && !part.equals("1")) {
            throw expected(description + ", 0 or 1");
        }
        return part.equals("1");
    }

    /** All fields that remain, up to the first absent one. */
    List<String> remaining() {
        List<String> parts = new ArrayList<>();
        for (String part = optional(); part != null; part = optional()) {
            parts.add(part);
        }
        return parts;
    }

    MalformedLineException expected(String description) {
        return new MalformedLineException(line, description);
    }

    double parseDouble(String part, String description) {
        try {
            double value = Double.parseDouble(part);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw expected(description + ", a number");
        }
        throw expected(description + ", a finite number");
    }

    private long parseLong(String part, String description) {
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw expected(description + ", a whole number");
        }
    }
}
