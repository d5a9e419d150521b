package mastdrift.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The closing line, which distinguishes a complete file from a truncated one that still parses. It must be the last
 * line and appear nowhere else: {@code # end} closes the gateway's file, {@code # end of 12 nodes} a list of twelve
 * nodes.
 */
final class ClosingLine {

    private static final Pattern PATTERN = Pattern.compile("# end(?: of (\\d{1,9}) nodes)?");

    private ClosingLine() { }

    /** The line that a file has to end with; {@code nodeCount} is negative for a file that is not a node list. */
    static String expectedLine(int nodeCount) {
        return nodeCount < 0 ? "# end" : "# end of " + nodeCount + " nodes";
    }

    /** Adds a problem if a file that could not be parsed lacks a closing line as well: it may have been truncated. */
    static void checkPresent(String file, String text, Problems problems) {
        String content = text.endsWith("\n") ? text.substring(0, text.length() - 1) : text;
        String last = content.substring(content.lastIndexOf('\n') + 1).stripTrailing();
        if (!PATTERN.matcher(last).matches()) {
            problems.add(new Problem(file, 0, 0, "expected a closing line, \"# end of N nodes\", found none: the file may"
                    + " be truncated"));
        }
    }

    /** Adds a problem if the file does not end with its closing line, or has one before its end. */
    static void check(String file, String text, int nodeCount, Problems problems) {
        String[] lines = text.split("\r?\n", -1);
        int last = lines.length - 1;
        if (last > 0 && lines[last].isEmpty()) {
            last--;
        }
        for (int i = 0; i < last; i++) {
            if (PATTERN.matcher(lines[i]).matches()) {
                problems.add(new Problem(file, i + 1, 1, "expected the closing line as the last one, found " + (last - i)
                        + " more lines after it"));
                return;
            }
        }
        Matcher closing = PATTERN.matcher(lines[last]);
        if (!closing.matches() || !lines[last].equals(expectedLine(nodeCount))) {
            String found = lines[last].length() > 60 ? lines[last].substring(0, 60) + "..." : lines[last];
            problems.add(new Problem(file, last + 1, 1, "expected the closing line \"" + expectedLine(nodeCount)
                    + "\" (the file may be truncated), found \"" + found + "\""));
        }
    }
}
