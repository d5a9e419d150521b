package mastdrift.net;

/**
 * Finds the ends of JSON values in a stream that has one value a line, or one value over several lines if it is
 * indented (RFC 8259, section 2: line breaks are white space between tokens, and can't occur within a string). An
 * object or array ends with its closing bracket, no matter when the rest of its line arrives. An empty line within a
 * value, or a line break within a string, ends a truncated value: the parser rejects that value, and the input after it
 * is not taken for its rest. Keeps no text.
 */
final class JsonLines {

    /** What a byte completes. */
    enum End {
        NOTHING,
        /** A value, an empty line, or input that is neither. */
        VALUE,
        /** An object nested two levels deep in a value that is not complete: an entry of a list. */
        ENTRY,
        /**
         * A line that is an object by itself, within a value that is not complete: an entry of that value, or a value
         * that follows a truncated one.
         */
        OBJECT_LINE
    }

    private static final int ENTRIES = 2;  // a list is an object with an array of entries

    private int depth;
    private int lineDepth;  // at the start of the line
    private boolean opensObject;  // the first token of the line is an opening brace
    private boolean quoted;
    private boolean escaped;
    private boolean blank = true;  // the line has only white space so far

    /** Processes the next byte. */
    End next(byte next) {
        if (next == '\n') {
            return lineEnds();
        }
        boolean space = next == ' ' || next == '\t' || next == '\r';
        if (blank && !space) {
            opensObject = next == '{' && !quoted;
        }
        blank &= space;
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
            return depth == 0 ? valueEnds() : depth == ENTRIES && next == '}' ? End.ENTRY : End.NOTHING;
        }
        return End.NOTHING;
    }

    private End valueEnds() {
        lineDepth = 0;
        opensObject = false;
        return End.VALUE;
    }

    private End lineEnds() {
        boolean over = depth <= 0 || quoted || blank;
        boolean objectLine = !over && opensObject && depth == lineDepth;
        if (over) {
            restart();
        }
        blank = true;
        lineDepth = depth;
        return over ? End.VALUE : objectLine ? End.OBJECT_LINE : End.NOTHING;
    }

    /** Discards an incomplete value: the next byte starts a new one. */
    void restart() {
        depth = 0;
        lineDepth = 0;
        quoted = false;
        escaped = false;
        blank = true;
    }
}
