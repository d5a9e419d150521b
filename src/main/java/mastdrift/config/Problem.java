package mastdrift.config;

/**
 * A problem in a file: its position, and a text that says what was expected and what was found. Line and column count
 * from 1; 0 refers to the whole file.
 */
public record Problem(String file, int line, int column, String text) {

    /** Formats the problem as {@code file:line:column: text}. */
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line + ":" + column : "") + ": " + text;
    }
}
