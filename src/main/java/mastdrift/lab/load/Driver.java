package mastdrift.lab.load;

/** Sends tries over one protocol, on one event loop. */
interface Driver {

    /** How a try ended. */
    enum Ended {
        /** Answered by a host's answer to this request. */
        SERVED,
        /** Turned away: trying again is harmless. */
        REFUSED,
        /** Answered with a failure. */
        FAILED,
        /** Its time ended, or its connection did, without an answer. */
        UNANSWERED,
        /** Answered with what was another request's. */
        FOREIGN,
        /** Never left: no connection was free in its time. The load tool's own failure. */
        UNSENT
    }

    /** Hears of every try, on the loop's thread. */
    interface Ear {
        /** It is on its way; {@code waited} tells whether it had to wait for a free connection. */
        void left(Shot shot, boolean waited);

        /** It has ended; {@code advice} in microseconds is what a refusal asked to wait, 0 for nothing. Once a try. */
        void ended(Shot shot, Ended how, long advice);
    }

    /** Opens connections ahead, where the plan says so; returns once they are being opened. */
    void open();

    /** Whether all that were to be opened ahead are, or have failed. */
    boolean opened();

    /** Sends it now, or as soon as a connection is free. */
    void fire(Shot shot);

    /** Closes all connections. */
    void close();
}
