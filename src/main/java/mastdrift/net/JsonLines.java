package mastdrift.net;

/** Finds the ends of JSON values in a stream that has one a line, or one over several lines where it comes indented (RFC 8259, section 2: line breaks are
    white space between tokens, and can't stand within a string). An object or array ends with its last bracket, whenever the end of its line comes. An
    empty line within a value, or one that breaks a string, ends what was cut off: that is for the parser to refuse, and what comes behind it is not
    taken for its rest. Holds no text. */
final class JsonLines {

    /** What a byte ends. */
    enum End {
        NOTHING,
        /** A value, an empty line, or something that can't be either. */
        VALUE,
        /** An object two levels within a value that has begun: an entry of a list. */
        ENTRY,
        /** A line that is an object by itself, within a value that has begun: an entry of that, or a value behind one that was cut off. */
        OBJECT_LINE
    }

    private static final int ENTRIES = 2;  // a list is an object with an array of them

    private int depth;
    private int lineDepth;  // at the line's begin
    private boolean opensObject;  // the line, with its first token
    private boolean quoted;
    private boolean escaped;
    private boolean blank = true;  // the line, so far

    /** Takes the next byte. */
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

    /** What has begun is no value: the next byte begins one. */
    void restart() {
        depth = 0;
        lineDepth = 0;
        quoted = false;
        escaped = false;
        blank = true;
    }
}
