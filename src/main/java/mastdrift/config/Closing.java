package mastdrift.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The closing line, by which a whole file is told from the half of one that parses as well: the very last line, and
    nowhere else. {@code # end} closes the gateway's file, {@code # end of 12 nodes} a list of twelve. */
final class Closing {

    private static final Pattern LINE = Pattern.compile("# end(?: of (\\d{1,9}) nodes)?");

    private Closing() { }

    /** The line that a file has to end with; {@code nodes} below 0 for a file that is no list. */
    static String line(int nodes) {
        return nodes < 0 ? "# end" : "# end of " + nodes + " nodes";
    }

    /** Complains where a file that can't be read doesn't end with a closing line: it may be the half of one. */
    static void present(String file, String text, Problems problems) {
        String whole = text.endsWith("\n") ? text.substring(0, text.length() - 1) : text;
        String last = whole.substring(whole.lastIndexOf('\n') + 1).stripTrailing();
        if (!LINE.matcher(last).matches()) {
            problems.add(new Problem(file, 0, 0, "expected a closing line, \"# end of N nodes\", found none: the file may not"
                    + " be whole"));
        }
    }

    /** Complains where the file doesn't end with its closing line, or has one before its end. */
    static void check(String file, String text, int nodes, Problems problems) {
        String[] lines = text.split("\r?\n", -1);
        int last = lines.length - 1;
        if (last > 0 && lines[last].isEmpty()) {
            last--;
        }
        for (int i = 0; i < last; i++) {
            if (LINE.matcher(lines[i]).matches()) {
                problems.add(new Problem(file, i + 1, 1, "expected the closing line as the last one, found " + (last - i)
                        + " more lines behind it"));
                return;
            }
        }
        Matcher closing = LINE.matcher(lines[last]);
        if (!closing.matches() || !lines[last].equals(line(nodes))) {
            String found = lines[last].length() > 60 ? lines[last].substring(0, 60) + "..." : lines[last];
            problems.add(new Problem(file, last + 1, 1, "expected the closing line \"" + line(nodes)
                    + "\" (the file may not be whole), found \"" + found + "\""));
        }
    }
}
