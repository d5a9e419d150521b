package mastdrift.events;

import java.io.PrintStream;

/** Receives events. Called on the event loop too, so it must not block. */
@FunctionalInterface
public interface Events {

    /** The severity of an event. */
    enum Level {
        /** No action is needed. */
        INFO,
        /** Needs attention. */
        WARN,
        /** Something is lost or broken. */
        ERROR
    }

    /**
     * Reports an event.
     *
     * @param level the severity
     * @param name a stable name in lower case with underscores, for counting and searching
     * @param text one line for people
     * @param fields names and values in turn; never a secret, a password or a driver's name
     */
    void event(Level level, String name, String text, Object... fields);

    /** Prints the texts alone, a line each. */
    static Events printing(PrintStream out) {
        return (level, name, text, fields) -> out.println(text.replace('\n', ' '));
    }
}
