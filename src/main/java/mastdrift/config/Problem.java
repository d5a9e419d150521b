package mastdrift.config;

/** A complaint about a file: where, what was expected and what was found. Line and column count from 1; 0 is the whole. */
public record Problem(String file, int line, int column, String text) {

    /** As {@code file:line:column: text}. */
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line + ":" + column : "") + ": " + text;
    }
}
