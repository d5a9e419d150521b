package mastdrift.engine;

import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;

/**
 * Is told of each request that a {@link RequestTracker} receives and of its final answer, on the event loop's thread.
 * It changes nothing.
 */
public interface RequestListener {

    /** How a request ended; LEFT if its client disconnected before an answer. */
    enum Result { SERVED, REFUSED, FAILED, LATE, LEFT }

    /** A request has arrived. The message stays readable until the end of the request has been reported. */
    void requestReceived(RequestMessage message, RequestAttributes attributes);

    /** An attempt ended at a host while its request was still open. */
    default void attemptEnded(RequestMessage message, String uid, Outcome outcome) { }

    /** A request ended; called exactly once. {@code reason} is the reason for a refusal, null otherwise. */
    void requestEnded(RequestMessage message, Result result, Why reason);
}
