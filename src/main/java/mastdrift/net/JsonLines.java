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
    enum Boundary {
        NONE,
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

    private static final int ENTRY_DEPTH = 2;  // a list is an object with an array of entries

    private int depth;
    private int lineStartDepth;  // at the start of the line
    private boolean lineOpensObject;  // the first token of the line is an opening brace
    private boolean inString;
    private boolean escaped;
    private boolean lineBlank = true;  // the line has only white space so far

    /** Processes the next byte. */
    Boundary next(byte nextByte) {
        if (nextByte == '\n') {
            return endLine();
        }
        boolean whiteSpace = nextByte == ' ' || nextByte == '\t' || nextByte == '\r';
        if (lineBlank && !whiteSpace) {
            lineOpensObject = nextByte == '{' && !inString;
        }
        lineBlank &= whiteSpace;
        if (escaped) {
            escaped = false;
        } else if (nextByte == '"') {
            inString = !inString;
        } else if (inString) {
            escaped = nextByte == '\\';
        } else if (nextByte == '{' || nextByte == '[') {
            depth++;
        } else if (nextByte == '}' || nextByte == ']') {
            depth--;
            return depth == 0 ? endValue() : depth == ENTRY_DEPTH && nextByte == '}' ? Boundary.ENTRY : Boundary.NONE;
        }
        return Boundary.NONE;
    }

    private Boundary endValue() {
        lineStartDepth = 0;
        lineOpensObject = false;
        return Boundary.VALUE;
    }

    private Boundary endLine() {
        boolean endsValue = depth <= 0 || inString || lineBlank;
        boolean objectLine = !endsValue && lineOpensObject && depth == lineStartDepth;
        if (endsValue) {
            reset();
        }
        lineBlank = true;
        lineStartDepth = depth;
        return endsValue ? Boundary.VALUE : objectLine ? Boundary.OBJECT_LINE : Boundary.NONE;
    }

    /** Discards an incomplete value: the next byte starts a new one. */
    void reset() {
        depth = 0;
        lineStartDepth = 0;
        inString = false;
        escaped = false;
        lineBlank = true;
    }
}
