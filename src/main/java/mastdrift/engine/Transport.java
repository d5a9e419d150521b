package mastdrift.engine;

import java.util.List;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;

/**
 * Connections to the hosts of one pool. Carries out each send on the given host, once, and reports how it ended. It
 * neither retries nor chooses another host. Runs on the event loop's thread.
 */
public interface Transport {

    /** Is told how a send ended, exactly once, possibly before {@link Transport#send} returns. */
    interface CompletionListener {
        /** The send ended; {@code response} is null if the host gave none. */
        void completed(Outcome outcome, ResponseMessage response, LoadReport report);

        /**
         * Whether the result is still wanted. Checked right before the send's first byte leaves, after all other checks
         * except {@link Endpoint#maySend}.
         */
        default boolean isWanted() {
            return true;
        }

        /**
         * A step before the end, such as a connection being established, has been observed, possibly late because of
         * the gateway's own lateness.
         */
        default void progressed() { }

        /**
         * The total of bytes that passed the socket for this send; reported before its end by a transport that counts
         * bytes.
         */
        default void transferred(long sentBytes, long receivedBytes) { }
    }

    /** Is told how a probe ended, exactly once. */
    interface ProbeListener {
        void probed(Outcome outcome, LoadReport report);

        /** As {@link CompletionListener#transferred}, for the probe. */
        default void transferred(long sentBytes, long receivedBytes) { }
    }

    /** Is told of bytes that passed a host's socket and belong to no send. */
    interface StrayBytesListener {
        void strayBytes(String uid, long sentBytes, long receivedBytes);
    }

    /** Turns on counting of bytes; called before anything is sent. */
    default void countBytes(StrayBytesListener listener) { }

    /** A send that may be in flight. */
    interface Attempt {
        /** Stops waiting; the outcome is REVOKED unless there is one already. */
        void cancel();
    }

    /**
     * Sends a request to an endpoint and waits for its response for {@code timeoutMicros}. A timeout of 0 or less gives
     * UNUSED. So does, at the moment in which the first byte could leave, an endpoint that {@link Endpoint#maySend}
     * rules out, a request that has waited for {@code maxSendDelayMicros}, or one that is not {@link
     * CompletionListener#isWanted} any more.
     */
    Attempt send(Endpoint endpoint, RequestMessage message, long timeoutMicros, long maxSendDelayMicros,
            CompletionListener listener);

    /** Probes an endpoint. */
    void probe(Endpoint endpoint, ProbeListener listener);

    /**
     * Puts the host list, complete or as changes, in force: connections to endpoints that may not be sent to any more
     * close once idle.
     */
    void update(boolean isFullList, List<Member> members);

    /** Closes the idle connections to a host. */
    void closeIdle(String uid);

    /** Shuts down for good: idle connections close, and nothing new is sent. */
    void close();
}
