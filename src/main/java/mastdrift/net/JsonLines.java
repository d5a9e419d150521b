package mastdrift.net;

/** Finds the ends of JSON values in a stream that has one a line, or one over several lines where it comes indented (RFC 8259, section 2: line breaks are
    white space between tokens, and can't stand within a string). An empty line within a value, or one that breaks a string, ends what was cut off: that
    is for the parser to refuse, and what comes behind it is not taken for its rest. Holds no text. */
final class JsonLines {

    private int depth;
    private boolean quoted;
    private boolean escaped;
    private boolean blank = true;  // the line, so far

    /** Takes the next byte; whether a value, an empty line or something that can't be either ends with it. */
    boolean ends(byte next) {
        if (next == '\n') {
            boolean over = depth <= 0 || quoted || blank;
            blank = true;
            if (over) {
                depth = 0;
                quoted = false;
                escaped = false;
            }
            return over;
        }
        blank &= next == ' ' || next == '\t' || next == '\r';
        if (escaped) {
            escaped = false;
        } else if (next == '"') {
            quoted = !quoted;
        } else if (quoted) {
            escaped = next == '\\';
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
        return false;
    }
}
