package mastdrift.events;

import java.io.PrintStream;

/** Hears events. Called from the event loop too, so it must not wait for anything. */
@FunctionalInterface
public interface Events {

    /** How grave an event is. */
    enum Level {
        /** Nothing to do. */
        INFO,
        /** Somebody should look at it. */
        WARN,
        /** Something is lost or broken. */
        ERROR
    }

    /**
     * Something happened.
     *
     * @param level how grave
     * @param name stable, in small letters with underscores: for those who count or search
     * @param text for a person, one line
     * @param fields names and values in turn; never a secret, a password or a driver's name
     */
    void event(Level level, String name, String text, Object... fields);

    /** The texts alone, a line each. */
    static Events printing(PrintStream out) {
        return (level, name, text, fields) -> out.println(text.replace('\n', ' '));
    }
}
